import {createWriteStream} from 'node:fs';

/** A stream to standard output that never blocks: writes to a pipe whose reader stands still would stop the whole process. */
export type AsyncOutput = {
	readonly stream: NodeJS.WritableStream;
	/** Lines wait because the reader does not keep up. */
	isBacklogged(): boolean;
};

/** Bytes that may wait for a slow reader; some thousand lines. */
const MOST_WAITING_BYTES = 262_144;

const STANDARD_OUTPUT = 1;

/** Opens standard output for writing in the background. */
export function openAsyncOutput(): AsyncOutput {
	const stream = createWriteStream('', {fd: STANDARD_OUTPUT, autoClose: false});
	return {
		stream,
		isBacklogged: () => stream.writableLength > MOST_WAITING_BYTES,
	};
}
