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

/** Longest statement taken, in characters. */
export const MAX_STATEMENT_LENGTH = 65_536;

/** Deadline of a request that states none, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 10_000;

/** Longest deadline taken, in milliseconds. */
export const MAX_DEADLINE_MS = 60_000;

/** Checks the body of a request. */
export const callerRequestSchema = z.strictObject({
	kind: z.enum(RequestKind),
	statement: z.string().min(1).max(MAX_STATEMENT_LENGTH),
	values: z.array(z.union([z.string(), z.number(), z.boolean(), z.null()])).max(1000).default([]),
	requestId: requestId.optional(),
	/** Which submission of this request id this is, from 1; a caller that sends an id again says so. */
	attempt: z.int().min(1).max(1000).default(1),
	/** False or absent: runs at most once. True only says that the caller may ask again by itself. */
	idempotent: z.boolean().default(false),
	/** The oldest data a read accepts, in milliseconds; absent: the group's limit. */
	maxAgeMs: z.int().min(0).optional(),
	/** The read must see every write acknowledged before it, by anyone. */
	latest: z.boolean().default(false),
	class: z.enum(WorkClass).default(WorkClass.Interactive),
	/** Time within which the caller wants its answer, in milliseconds. */
	deadlineMs: z.int().min(1).max(MAX_DEADLINE_MS).default(DEFAULT_DEADLINE_MS),
});

/** The body of a request, checked. */
export type CallerRequest = z.infer<typeof callerRequestSchema>;
