import {getRequestIdTime} from '../random/request-id.js';

/** What tells whether a request may have been submitted before. */
export type Submission = {
	/** `read`, `write`, `outcome`, `begin`, … */
	readonly asked: string;
	/** The id that the caller made; undefined where it made none. */
	readonly requestId?: string;
	/** Which submission of the id this is, by the caller's word; absent: the first. */
	readonly attempt?: number;
};

/** What is asked without a request key of its own, so that no other submission can be meant. */
export const ONCE_ONLY: ReadonlySet<string> = new Set(['read', 'statement', 'rollback']);

/** A caller's id whose time is further than this from now may have been submitted before, in milliseconds. */
const FRESH_ID_MS = 250;

/**
 * Tells whether another submission of the same request may have been taken.
 *
 * Guards against a false "not run" to a caller that sends an id again after its first submission brought no answer: whoever
 * refuses this submission knows nothing of that one. Such a caller would write again under a new id.
 */
export function mayBeRepeat({asked, requestId, attempt = 1}: Submission, wallMs: number): boolean {
	return !ONCE_ONLY.has(asked) && (attempt > 1 || !isFresh(requestId, wallMs));
}

function isFresh(requestId: string | undefined, wallMs: number): boolean {
	return requestId === undefined || Math.abs((getRequestIdTime(requestId) ?? 0) - wallMs) <= FRESH_ID_MS;
}
