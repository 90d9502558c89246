import {Outcome} from '../callers/caller-response.js';
import type {Refusal, RefusalCode, RefusalFacts} from '../refusals/refusal.js';
import type {OwnerResponse} from '../routing/owner-request.js';

/** What a refusal states besides its code. */
export type RefusalParts = {
	readonly reason: string;
	readonly facts: RefusalFacts;
	/** In milliseconds; absent if another try cannot succeed. */
	readonly retryAfterMs?: number;
};

/** Creates a refusal. */
export function createRefusal(code: RefusalCode, parts: RefusalParts): Refusal {
	return {code, ...parts};
}

/** Creates a response which says that this try did not run and cannot run any more. */
export function createNotRunResponse(refusal: Refusal, tryNext = false): OwnerResponse {
	return {outcome: Outcome.NotRun, refusal, tryNext};
}

/** Creates a response which says that the request may have run. */
export function createUnknownResponse(refusal: Refusal): OwnerResponse {
	return {outcome: Outcome.Unknown, refusal};
}
