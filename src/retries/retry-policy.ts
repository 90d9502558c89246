import {RefusalCode} from '../refusals/refusal.js';
import type {RetryBudgetState} from './retry-budget.js';

/**
 * Decides what follows a failed try. Only the entry retries: a retry in each layer would multiply,
 * three layers of three tries each being 27 statements for one request.
 */

/** What is known of a try that brought no final answer. */
export type FailedTry = {
	/** It is proved that the try did not run and never will. */
	readonly provedNotRun: boolean;
	readonly isRead: boolean;
	/** A write carries its request key, under which a second try runs at most once. */
	readonly hasKey: boolean;
	/** Why the owner refused; undefined where no answer came. */
	readonly code?: RefusalCode;
	/** When the refusal said to come back, in milliseconds. */
	readonly retryAfterMs?: number;
	/** Another owner, not yet asked, may be asked at once. */
	readonly otherOwnerLeft: boolean;
};

/** What the decision is made on. */
export type NextTryOptions = {
	readonly failed: FailedTry;
	/** Tries made so far, from 1. */
	readonly tries: number;
	readonly deadlineAt: number;
	readonly budget: Pick<RetryBudgetState, 'left' | 'nextAfterMs'>;
	/** A random number from 0 up to but not including 1. */
	readonly fraction: number;
};

/** Why no further try is made. */
export const GiveUpReason = {
	/** The answer is final: trying again would bring the same. */
	Final: 'final',
	/** The try may have run and nothing keeps a second one from running it twice. */
	NotSafe: 'not-safe',
	/** The next try could not begin before the deadline. */
	Deadline: 'deadline',
	/** The group's retry budget is exhausted. */
	Budget: 'budget',
} as const;

/** One of the reasons in {@link GiveUpReason}. */
export type GiveUpReason = typeof GiveUpReason[keyof typeof GiveUpReason];

/** What to do after a failed try. */
export type NextTry =
	| {
		readonly retry: true;
		/** How long to wait before it, in milliseconds. */
		readonly delayMs: number;
		/** What it takes out of the budget, from 0 to 1. */
		readonly cost: number;
	}
	| {
		readonly retry: false;
		readonly reason: GiveUpReason;
		/** When the caller may come back, in milliseconds; undefined where that cannot help. */
		readonly retryAfterMs?: number;
	};

/** Most that the first delay can be, in milliseconds. */
const FIRST_DELAY_MS = 20;

/** Most that any delay can be, in milliseconds. */
const LONGEST_DELAY_MS = 1000;

/**
 * What a retry takes out of the budget when nothing ran: waiting out a failover costs the proxies a little and the servers
 * nothing, and at the full price nine in ten requests would be given up at once in the first second of it.
 */
const NOT_RUN_COST = 0.05;

/** Refusals that another try, a little later, may well not meet. */
const PASSING_CODES: ReadonlySet<RefusalCode> = new Set([
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

/** Decides whether and when a request is tried again at `now`, or why it gets its final answer. */
export function getNextTry(options: NextTryOptions, now: number): NextTry {
	const {failed, deadlineAt, budget} = options;
	const {code, retryAfterMs} = failed;

	// A queue that refused has weighed the deadline already; asking it again at once would be one more request in the overload.
	if (code !== undefined && !PASSING_CODES.has(code)) {
		return {retry: false, reason: GiveUpReason.Final, retryAfterMs};
	}

	// A write that may have run and has no key could run twice: the caller would find its filing doubled.
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

/** What another try takes out of the budget: the whole only where the failed one may have cost the group's servers work. */
function getCost(failed: FailedTry): number {
	if (!failed.provedNotRun) {
		return 1;
	}

	// A dead owner's requests must all go on to another at once.
	return failed.otherOwnerLeft ? 0 : NOT_RUN_COST;
}

/** The delay before the try that follows `tries` failed ones: doubled each time up to a bound, and drawn between half of that and the whole. */
export function getBackoffMs(tries: number, fraction: number): number {
	const mostMs = Math.min(LONGEST_DELAY_MS, FIRST_DELAY_MS * (2 ** (tries - 1)));
	return Math.ceil(mostMs * (0.5 + (fraction / 2)));
}
