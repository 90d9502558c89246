import type {LogFields} from './log.js';

/** Replaces a value that must not appear in a log line. */
export const REDACTED = '[redacted]';

/** Matches the names of fields whose value is never printed: each word alone or at the end of a longer name, singular or plural, in any case. */
const SECRET_NAME = /(?:token|key|password|session|value|authorization)s?$/iv;

/** Values nested deeper than this are omitted; log fields are meant to be flat. */
const MAX_DEPTH = 4;

/** Copies the fields of a log line, with values that must not be printed replaced at any depth. */
export function redactFields(fields: LogFields): LogFields {
	return redact(fields, 0) as LogFields;
}

function redact(value: unknown, depth: number): unknown {
	if (value instanceof Error) {
		return describeError(value, depth);
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
	const {name, message, stack, cause} = err;
	return cause === undefined || depth > MAX_DEPTH
		? {name, message, stack}
		: {
			name, message, stack, cause: redact(cause, depth + 1),
		};
}
