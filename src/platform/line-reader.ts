/** Largest message, in bytes: the wire's own limit of 1 MiB. */
export const MAX_LINE_BYTES = 1_048_576;

const LINE_END = '\r\n';

/** Cuts a stream of text into lines. */
export type LineReader = {
	/** Takes what came and returns the lines that it completes, without their ends; undefined once a line is over the limit. */
	push(chunk: string): readonly string[] | undefined;
};

/** Creates a reader for one connection. Text is Latin-1, one character a byte, so that bytes go through unchanged. */
export function createLineReader(maxBytes = MAX_LINE_BYTES): LineReader {
	let rest = '';

	return {
		push(chunk) {
			// The search goes on where it stopped, so that a long line that comes in many pieces is not scanned anew for each.
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
