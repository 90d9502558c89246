import {RefusalCode} from '../refusals/refusal.js';
import type {RetryBudgetState} from './retry-budget.js';

/**
 * Decides what follows a failed try. Only the entry retries: a retry in each layer would multiply,
 * three layers of three tries each being 27 statements for one request.
 */

/** A try that had no final answer. */
export type FailedTry = {
	/** Whether it is proved that the try did not run and never will. */
	readonly provedNotRun: boolean;
	readonly isRead: boolean;
	/** Whether a write has a request key, with which several tries run at most once. */
	readonly hasKey: boolean;
	/** Why the owner refused; undefined where no answer came. */
	readonly code?: RefusalCode;
	/** Retry-after of the refusal, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Whether another owner has not been tried yet and may be tried at once. */
	readonly otherOwnerLeft: boolean;
};

/** Inputs of the decision. */
export type NextTryOptions = {
	readonly failed: FailedTry;
	/** Number of tries made so far, from 1. */
	readonly tries: number;
	readonly deadlineAt: number;
	readonly budget: Pick<RetryBudgetState, 'left' | 'nextAfterMs'>;
	/** A random number from 0 up to but not including 1. */
	readonly fraction: number;
};

/** Why no further try is made. */
export const GiveUpReason = {
	/** The answer is final: another try would get the same. */
	Final: 'final',
	/** The try may have run, and another could run it a second time. */
	NotSafe: 'not-safe',
	/** The next try could not start before the deadline. */
	Deadline: 'deadline',
	/** The group's retry budget is exhausted. */
	Budget: 'budget',
} as const;

/** One of the reasons in {@link GiveUpReason}. */
export type GiveUpReason = typeof GiveUpReason[keyof typeof GiveUpReason];

/** The decision after a failed try. */
export type NextTry =
	| {
		readonly retry: true;
		/** Delay before the next try, in milliseconds. */
		readonly delayMs: number;
		/** Cost of the next try in the budget, from 0 to 1. */
		readonly cost: number;
	}
	| {
		readonly retry: false;
		readonly reason: GiveUpReason;
		/** Time after which the caller may try again, in milliseconds; undefined where that cannot help. */
		readonly retryAfterMs?: number;
	};

/** Maximum of the first delay, in milliseconds. */
const MAX_FIRST_DELAY_MS = 20;

/** Maximum of any delay, in milliseconds. */
const MAX_DELAY_MS = 1000;

/**
 * Cost of a retry when the failed try did not run. Retries during a failover cost the proxies little and the servers
 * nothing; at the full cost nine in ten requests would get no retry in the first second of a failover.
 */
const NOT_RUN_COST = 0.05;

/** Refusals that a later try may not get. */
const TRANSIENT_CODES: ReadonlySet<RefusalCode> = new Set([
	RefusalCode.NoOwner,
	RefusalCode.OwnerSilent,
	RefusalCode.NoPrimary,
	RefusalCode.NoEndpoint,
	RefusalCode.NoConnection,
	RefusalCode.NotConfirmed,
	RefusalCode.PrimarySuperseded,
	RefusalCode.FloorNotReached,
	RefusalCode.EndpointSilent,
	RefusalCode.InProgress,
	RefusalCode.HostLeaving,
]);

/** Decides at `now` whether and when a request is tried again, or why not. */
export function getNextTry(options: NextTryOptions, now: number): NextTry {
	const {failed, deadlineAt, budget} = options;
	const {code, retryAfterMs} = failed;

	// A queue that refused has already taken the deadline into account; another try at once would only add to the overload.
	if (code !== undefined && !TRANSIENT_CODES.has(code)) {
		return {retry: false, reason: GiveUpReason.Final, retryAfterMs};
	}

	// A write that may have run and has no key could run twice: the caller's data would be written twice.
	if (!failed.provedNotRun && !failed.isRead && !failed.hasKey) {
		return {retry: false, reason: GiveUpReason.NotSafe};
	}

	const cost = getCost(failed);
	const delayMs = cost === 0 ? 0 : Math.max(getBackoffMs(options.tries, options.fraction), retryAfterMs ?? 0);
	if (now + delayMs >= deadlineAt) {
		return {retry: false, reason: GiveUpReason.Deadline, retryAfterMs: delayMs};
	}

	if (budget.left < cost) {
		return {retry: false, reason: GiveUpReason.Budget, retryAfterMs: Math.max(delayMs, budget.nextAfterMs)};
	}

	return {retry: true, delayMs, cost};
}

/** Returns the cost of another try in the budget: 1 only where the failed try may have cost the group's servers work. */
function getCost(failed: FailedTry): number {
	if (!failed.provedNotRun) {
		return 1;
	}

	// When an owner fails, all of its requests must go to another at once.
	return failed.otherOwnerLeft ? 0 : NOT_RUN_COST;
}

/**
 * Returns the delay before the try that follows `tries` failed ones, in milliseconds. Its maximum doubles each time up to a bound; `fraction` places the
 * delay between half of that maximum and all of it.
 */
export function getBackoffMs(tries: number, fraction: number): number {
	const maxMs = Math.min(MAX_DELAY_MS, MAX_FIRST_DELAY_MS * (2 ** (tries - 1)));
	return Math.ceil(maxMs * (0.5 + (fraction / 2)));
}
