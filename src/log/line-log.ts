import type {Log, LogFields} from './log.js';

/** Creates a log that hands each line over, with the prefix of its part; what is for debugging is left out. */
export function createLineLog(write: (sentence: string, fields: LogFields) => void, prefix = ''): Log {
	const line = (sentence: string, fields: LogFields = {}) => {
		write(prefix + sentence, fields);
	};

	return {
		debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		info: line,
		warn: line,
		error: line,
		part: inner => createLineLog(write, prefix + inner),
	};
}
