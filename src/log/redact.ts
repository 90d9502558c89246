import type {LogFields} from './log.js';

/** What stands in a log line in place of a value that must not. */
export const REDACTED = '[redacted]';

/** Names of fields whose value is never printed, alone or as the last word of a longer name, in any number or case. */
const SECRET_NAME = /(?:token|key|password|session|value|authorization)s?$/iv;

/** Deeper values are left out; log fields are meant to be flat. */
const MAX_DEPTH = 4;

/** Copies the fields of a log line without what must not be printed, however deep it stands. */
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

/** Errors of libraries carry requests and statements as properties; only these fields are taken over. */
function describeError(err: Error, depth: number): LogFields {
	const {name, message, stack, cause} = err;
	return cause === undefined || depth > MAX_DEPTH
		? {name, message, stack}
		: {
			name, message, stack, cause: redact(cause, depth + 1),
		};
}
