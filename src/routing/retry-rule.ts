import {Outcome} from '../callers/caller-answer.js';
import {RefusalCode} from '../refusals/refusal.js';
import type {OwnerAnswer} from './owner-request.js';

/** Refusals that another try, there or elsewhere, cannot better within the same request. */
const FINAL_CODES: ReadonlySet<RefusalCode> = new Set([
	RefusalCode.QueueFull,
	RefusalCode.DeadlineTooShort,
	RefusalCode.DeadlinePassed,
	RefusalCode.StatementFailed,
	RefusalCode.RequestMismatch,
	RefusalCode.Resolved,
	RefusalCode.WriteLost,
]);

/**
 * Tells whether another try is allowed after an answer.
 *
 * A try that did not run may be repeated. One that may have run may be repeated too: a write carries its key, under
 * which it runs at most once, and a read has no effect.
 */
export function isRetryable(answer: OwnerAnswer): boolean {
	if (answer.outcome === Outcome.Done) {
		return false;
	}

	return !answer.refusal || !FINAL_CODES.has(answer.refusal.code);
}
