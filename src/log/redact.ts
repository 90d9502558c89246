import type {LogFields} from './log.js';

/** Replaces a value that must not appear in a log line. */
export const REDACTED = '[redacted]';

/** Matches the names of fields whose value is never printed: each word alone or at the end of a longer name, singular or plural, in any case. */
const SECRET_NAME = /(?:token|key|password|session|value|authorization)s?$/iv;

/** Values nested deeper than this are omitted; log fields are meant to be flat. */
const MAX_DEPTH = 4;

/** Maximum length of a text in a log line, in characters: an id of a caller may be as long as a message. */
export const MAX_TEXT_LENGTH = 256;

/** The same for the message and the stack of an error. */
const MAX_ERROR_TEXT_LENGTH = 4096;

/** Copies the fields of a log line, with values that must not be printed replaced at any depth, and long texts cut. */
export function redactFields(fields: LogFields): LogFields {
	return redact(fields, 0) as LogFields;
}

function redact(value: unknown, depth: number): unknown {
	if (value instanceof Error) {
		return describeError(value, depth);
	}

	if (typeof value === 'string') {
		return cut(value, MAX_TEXT_LENGTH);
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	if (depth > MAX_DEPTH) {
		return '[deeper]';
	}

	if (Array.isArray(value)) {
		return value.map(item => redact(item, depth + 1));
	}

	return Object.fromEntries(Object.entries(value).map(([name, item]) => [name, SECRET_NAME.test(name) ? REDACTED : redact(item, depth + 1)]));
}

/** Copies only these fields of an error, since errors of libraries carry requests and statements as further properties. */
function describeError(err: Error, depth: number): LogFields {
	const {name, cause} = err;
	const message = cut(err.message, MAX_ERROR_TEXT_LENGTH);
	const stack = err.stack && cut(err.stack, MAX_ERROR_TEXT_LENGTH);
	return cause === undefined || depth > MAX_DEPTH
		? {name, message, stack}
		: {
			name, message, stack, cause: redact(cause, depth + 1),
		};
}

function cut(text: string, maxLength: number): string {
	return text.length > maxLength ? `${text.slice(0, maxLength)} [${text.length} characters]` : text;
}
