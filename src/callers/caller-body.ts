import {Buffer, isUtf8} from 'node:buffer';
import * as z from 'zod';
import type {BeginRequest} from './entry.js';
import {callerRequestSchema, type CallerRequest} from './caller-request.js';
import {throwMalformed} from './caller-errors.js';

/** The largest body taken, in bytes. */
export const MAX_BODY_BYTES = 1_048_576;

const beginSchema = callerRequestSchema.pick({class: true, deadlineMs: true, requestId: true});

const emptySchema = z.strictObject({});

/** Decodes a body; undefined where there is none. Throws CallerError for what is not JSON in UTF-8. */
export function parseBody(bytes: Uint8Array): unknown {
	if (bytes.length === 0) {
		return undefined;
	}

	// A decoder that puts U+FFFD in place of broken bytes would change a caller's values without a word.
	if (!isUtf8(bytes)) {
		throwMalformed('body: not UTF-8');
	}

	try {
		return JSON.parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString()) as unknown;
	} catch {
		// The parser's own message quotes the body, hence maybe a caller's values.
		throwMalformed('body: not JSON');
	}
}

/** Checks the body of a request. Throws CallerError that names the field. */
export function checkCallerRequest(body: unknown): CallerRequest {
	const req = check(callerRequestSchema, body);
	for (const [index, value] of req.values.entries()) {
		// JSON numbers beyond 2^53 arrive rounded: another value than the caller sent would reach the database.
		if (Number.isInteger(value) && !Number.isSafeInteger(value)) {
			throwMalformed(`field "values.${index}": integers beyond 2^53 are rounded on the way; send it as a string`);
		}
	}

	return req;
}

/** Checks the body that opens a transaction; absent means all defaults. Throws CallerError that names the field. */
export function checkBeginRequest(body: unknown): BeginRequest {
	return check(beginSchema, body ?? {});
}

/** Checks the body of a commit or rollback: absent or `{}`. Throws CallerError that names the field. */
export function checkEmptyBody(body: unknown): void {
	check(emptySchema, body ?? {});
}

function check<T>(schema: z.ZodType<T>, body: unknown): T {
	const checked = schema.safeParse(body);
	if (checked.success) {
		return checked.data;
	}

	const [issue] = checked.error.issues;
	throwMalformed(issue ? describeIssue(issue) : 'body: not a request');
}

/** Names the first faulty field; never quotes its value. */
function describeIssue(issue: z.core.$ZodIssue): string {
	if (issue.code === 'unrecognized_keys') {
		return `field "${issue.keys[0]}": unknown`;
	}

	const problem = issue.code === 'invalid_union' ? 'expected a string, number, boolean or null' : issue.message;
	return issue.path.length === 0 ? `body: ${problem}` : `field "${issue.path.join('.')}": ${problem}`;
}
