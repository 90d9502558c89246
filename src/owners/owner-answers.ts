import {Outcome} from '../callers/caller-answer.js';
import type {Refusal, RefusalCode, RefusalFacts} from '../refusals/refusal.js';
import type {OwnerResponse} from '../routing/owner-request.js';

/** The parts of a refusal, in the order in which they are thought of. */
export type RefusalParts = {
	readonly reason: string;
	readonly facts: RefusalFacts;
	/** In milliseconds; absent where coming back cannot help. */
	readonly retryAfterMs?: number;
};

/** Makes a refusal. */
export function createRefusal(code: RefusalCode, parts: RefusalParts): Refusal {
	return {code, ...parts};
}

/** An answer that says that this try did not run and cannot run any more. */
export function answerNotRun(refusal: Refusal, tryNext = false): OwnerResponse {
	return {outcome: Outcome.NotRun, refusal, tryNext};
}

/** An answer that says that the request may have run. */
export function answerUnknown(refusal: Refusal): OwnerResponse {
	return {outcome: Outcome.Unknown, refusal};
}
