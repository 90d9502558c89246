import type {Log, LogFields} from '../../log/log.js';

/** A line as it was written. */
export type CapturedLine = {
	readonly at: number;
	readonly sentence: string;
	readonly fields: LogFields;
};

/** Creates a log that keeps its lines. */
export function createCapturedLog(getNow: () => number, lines: CapturedLine[], prefix = ''): Log {
	const keep = (sentence: string, fields: LogFields = {}) => {
		lines.push({at: getNow(), sentence: prefix + sentence, fields});
	};

	return {
		debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		info: keep,
		warn: keep,
		error: keep,
		part: inner => createCapturedLog(getNow, lines, prefix + inner),
	};
}
