/** Maximum size of a message, in bytes: the protocol's limit of 1 MiB. */
export const MAX_LINE_BYTES = 1_048_576;

/** The end of a line, which does not count towards its size. */
export const LINE_END = '\r\n';

/** Splits a stream of text into lines. */
export type LineReader = {
	/** Returns the lines that this chunk completes, without their line ends; undefined once a line exceeds the limit. */
	push(chunk: string): readonly string[] | undefined;
};

/** Creates a reader for one connection. The text is Latin-1, with one character per byte, so that bytes pass through unchanged. */
export function createLineReader(maxBytes = MAX_LINE_BYTES): LineReader {
	let rest = '';

	return {
		push(chunk) {
			// The search resumes where it stopped, so that a long line that arrives in many chunks is not scanned again for each.
			let from = Math.max(0, rest.length - 1);
			rest += chunk;
			const lines: string[] = [];
			let start = 0;
			for (let end = rest.indexOf(LINE_END, from); end !== -1; end = rest.indexOf(LINE_END, from)) {
				if (end - start > maxBytes) {
					return undefined;
				}

				lines.push(rest.slice(start, end));
				start = end + LINE_END.length;
				from = start;
			}

			rest = rest.slice(start);
			return rest.length > maxBytes + 1 ? undefined : lines;
		},
	};
}
