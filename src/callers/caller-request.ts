import * as z from 'zod';
import {WorkClass} from '../groups/group-config.js';

/** What a request does. */
export const RequestKind = {
	Read: 'read',
	Write: 'write',
} as const;

/** One of the kinds in {@link RequestKind}. */
export type RequestKind = typeof RequestKind[keyof typeof RequestKind];

const requestId = z.uuidv7('requestId must be a UUIDv7');

/** Maximum length of a statement, in characters. */
export const MAX_STATEMENT_LENGTH = 65_536;

/** Deadline of a request that states none, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 10_000;

/** Maximum deadline, in milliseconds. */
export const MAX_DEADLINE_MS = 60_000;

/** Schema of a request's body. */
export const callerRequestSchema = z.strictObject({
	kind: z.enum(RequestKind),
	statement: z.string().min(1).max(MAX_STATEMENT_LENGTH),
	values: z.array(z.union([z.string(), z.number(), z.boolean(), z.null()])).max(1000).default([]),
	requestId: requestId.optional(),
	/** Number of this submission of the request id, from 1; a caller that sends an id again increments it. */
	attempt: z.int().min(1).max(1000).default(1),
	/** False or absent: runs at most once. True only states that the caller may send the request again by itself. */
	idempotent: z.boolean().default(false),
	/** Maximum age of the data that a read accepts, in milliseconds; absent: the group's limit. */
	maxAgeMs: z.int().min(0).optional(),
	/** The read must see every write that was acknowledged before it, to any caller. */
	latest: z.boolean().default(false),
	class: z.enum(WorkClass).default(WorkClass.Interactive),
	/** Time within which the caller wants its response, in milliseconds. */
	deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
});

/** The validated body of a request. */
export type CallerRequest = z.infer<typeof callerRequestSchema>;
