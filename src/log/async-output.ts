import {createWriteStream} from 'node:fs';
import {setTimeout} from 'node:timers/promises';

/** A stream to standard output that never blocks. A blocking write to a pipe whose reader has stalled would stop the whole process. */
export type AsyncOutput = {
	readonly stream: NodeJS.WritableStream;
	/** Whether more bytes are buffered than the limit, because the reader does not keep up. */
	isBacklogged(): boolean;
	/**
	 * Ends the stream. Resolves once everything is written, at the latest after a timeout. A process that exits right after its last lines would
	 * otherwise lose them, since they are written in the background.
	 */
	flush(): Promise<void>;
};

/** How many bytes may be buffered for a slow reader; this holds about a thousand lines. */
const MAX_BUFFERED_BYTES = 262_144;

const STANDARD_OUTPUT = 1;

/** Maximum wait for the last lines, in milliseconds; a stopping host has one second left of its grace period. */
const FLUSH_TIMEOUT_MS = 300;

/** Opens standard output as a stream that writes in the background. */
export function openAsyncOutput(): AsyncOutput {
	const stream = createWriteStream('', {fd: STANDARD_OUTPUT, autoClose: false});
	return {
		stream,
		isBacklogged: () => stream.writableLength > MAX_BUFFERED_BYTES,
		async flush() {
			const timeout = new AbortController();
			const written = new Promise<void>(resolve => {
				stream.end(resolve);
			});
			await Promise.race([written, setTimeout(FLUSH_TIMEOUT_MS, undefined, {signal: timeout.signal}).catch(() => undefined)]);
			timeout.abort();
		},
	};
}
