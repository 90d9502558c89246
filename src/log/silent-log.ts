import type {Log} from './log.js';

/** Creates a log that discards every line. */
export function createSilentLog(): Log {
	const silent: Log = {
		debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		info() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		warn() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		error() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		withPrefix: () => silent,
	};

	return silent;
}
