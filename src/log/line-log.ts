import type {Log, LogFields} from './log.js';

/** Creates a log that passes each line, with its prefix, to a function; debug lines are omitted. */
export function createLineLog(write: (sentence: string, fields: LogFields) => void, prefix = ''): Log {
	const line = (sentence: string, fields: LogFields = {}) => {
		write(prefix + sentence, fields);
	};

	return {
		debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		info: line,
		warn: line,
		error: line,
		withPrefix: inner => createLineLog(write, prefix + inner),
	};
}
