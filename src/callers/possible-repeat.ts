import {getRequestIdTime} from '../random/request-id.js';

/** What shows whether a request may have been submitted before. */
export type Submission = {
	/** `read`, `write`, `outcome`, `begin`, … */
	readonly asked: string;
	/** The id that the caller created; undefined if it created none. */
	readonly requestId?: string;
	/** Number of this submission of the id, as the caller states it; absent: the first. */
	readonly attempt?: number;
};

/** Kinds of request that have no request key of their own, so that they cannot refer to another submission. */
export const UNKEYED_KINDS: ReadonlySet<string> = new Set(['read', 'statement', 'rollback']);

/** Maximum difference between now and the time in an id that counts as new, in milliseconds; with a larger one, the id may have been submitted before. */
const MAX_FRESH_ID_AGE_MS = 250;

/**
 * Returns whether another submission of the same request may have been accepted.
 *
 * Guards against a false "not run" to a caller that sends an id again after its first submission got no response: the host
 * that refuses this submission knows nothing of the first one. Such a caller would write again under a new id.
 */
export function mayBeRepeat({asked, requestId, attempt = 1}: Submission, wallMs: number): boolean {
	return !UNKEYED_KINDS.has(asked) && (attempt > 1 || !isFresh(requestId, wallMs));
}

function isFresh(requestId: string | undefined, wallMs: number): boolean {
	return requestId === undefined || Math.abs((getRequestIdTime(requestId) ?? 0) - wallMs) <= MAX_FRESH_ID_AGE_MS;
}
