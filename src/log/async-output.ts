import {createWriteStream} from 'node:fs';
import {setTimeout} from 'node:timers/promises';

/** A stream to standard output that never blocks: writes to a pipe whose reader stands still would stop the whole process. */
export type AsyncOutput = {
	readonly stream: NodeJS.WritableStream;
	/** Lines wait because the reader does not keep up. */
	isBacklogged(): boolean;
	/**
	 * Resolves once what was written has gone out, at the latest after a bound: a process that ends at once after its last lines would
	 * lose them, since they are written in the background.
	 */
	flush(): Promise<void>;
};

/** Bytes that may wait for a slow reader; some thousand lines. */
const MOST_WAITING_BYTES = 262_144;

const STANDARD_OUTPUT = 1;

/** Longest wait for the last lines, in milliseconds; a stopping host has a second left of its grace. */
const FLUSH_BOUND_MS = 300;

/** Opens standard output for writing in the background. */
export function openAsyncOutput(): AsyncOutput {
	const stream = createWriteStream('', {fd: STANDARD_OUTPUT, autoClose: false});
	return {
		stream,
		isBacklogged: () => stream.writableLength > MOST_WAITING_BYTES,
		async flush() {
			const bound = new AbortController();
			const written = new Promise<void>(resolve => {
				stream.end(resolve);
			});
			await Promise.race([written, setTimeout(FLUSH_BOUND_MS, undefined, {signal: bound.signal}).catch(() => undefined)]);
			bound.abort();
		},
	};
}
