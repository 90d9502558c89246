import {Buffer, isUtf8} from 'node:buffer';
import * as z from 'zod';
import type {BeginRequest} from './entry.js';
import {callerRequestSchema, type CallerRequest} from './caller-request.js';
import {throwMalformed} from './caller-errors.js';

/** Maximum size of a request's body, in bytes. */
export const MAX_BODY_BYTES = 1_048_576;

const beginSchema = callerRequestSchema.pick({class: true, deadlineMs: true, requestId: true});

const emptySchema = z.strictObject({});

/** Decodes a body; returns undefined for an empty one. Throws CallerError if it is not JSON in UTF-8. */
export function parseBody(bytes: Uint8Array): unknown {
	if (bytes.length === 0) {
		return undefined;
	}

	// A decoder that replaces invalid bytes by U+FFFD would change a caller's values silently.
	if (!isUtf8(bytes)) {
		throwMalformed('body: not UTF-8');
	}

	try {
		return JSON.parse(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).toString()) as unknown;
	} catch {
		// The parser's own message quotes the body and may therefore contain a caller's values.
		throwMalformed('body: not JSON');
	}
}

/** Validates the body of a request. Throws CallerError that names the invalid field. */
export function checkCallerRequest(body: unknown): CallerRequest {
	const req = check(callerRequestSchema, body);
	for (const [index, value] of req.values.entries()) {
		// JSON numbers beyond 2^53 arrive rounded, so a value that the caller did not send would reach the database.
		if (Number.isInteger(value) && !Number.isSafeInteger(value)) {
			throwMalformed(`field "values.${index}": integers beyond 2^53 are rounded on the way; send it as a string`);
		}
	}

	return req;
}

/** Validates the body that opens a transaction; an absent one means all defaults. Throws CallerError that names the invalid field. */
export function checkBeginRequest(body: unknown): BeginRequest {
	return check(beginSchema, body ?? {});
}

/** Validates the body of a commit or rollback, which is absent or `{}`. Throws CallerError that names the invalid field. */
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

/** Describes an invalid field by its name; never quotes its value. */
function describeIssue(issue: z.core.$ZodIssue): string {
	if (issue.code === 'unrecognized_keys') {
		return `field "${issue.keys[0]}": unknown`;
	}

	const problem = issue.code === 'invalid_union' ? 'expected a string, number, boolean or null' : issue.message;
	return issue.path.length === 0 ? `body: ${problem}` : `field "${issue.path.join('.')}": ${problem}`;
}
