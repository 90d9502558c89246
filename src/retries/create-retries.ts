import {createRetryAfterSlots} from '../refusals/retry-after-slots.js';
import {createRetryBudget, type RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
import {
	getNextTry, GiveUpReason, type NextTry, type NextTryOptions,
} from './retry-policy.js';

/** The entry's retries: the retry policy, and a budget for each group. */
export type Retries = {
	/** Records the first try of a request of the group. */
	noteFresh(group: string, now: number): void;
	/** Decides what follows a failed try, and takes a retry from the group's budget where one is made. */
	decide(options: RetryOptions, now: number): NextTry;
	/** Returns the group's budget, for refusals and metrics. */
	getBudget(group: string, now: number): RetryBudget;
	/** Drops the budget of a group that was deleted. */
	forget(group: string): void;
};

/** A request whose try failed. */
export type RetryOptions = Omit<NextTryOptions, 'budget'> & {
	readonly group: string;
};

/** Maximum retry-after of a caller when a budget is exhausted, in milliseconds. */
const MAX_RETRY_AFTER_MS = 10_000;

/** Creates the retries. One group's failures never use another's budget. */
export function createRetries(options: RetryBudgetOptions = {}): Retries {
	const groups = new Map<string, ReturnType<typeof createGroup>>();

	const createGroup = (now: number) => ({
		budget: createRetryBudget(options, now),
		retryAfterSlots: createRetryAfterSlots(MAX_RETRY_AFTER_MS),
	});

	const getGroup = (name: string, now: number) => {
		const group = groups.get(name) ?? createGroup(now);
		groups.set(name, group);
		return group;
	};

	return {
		noteFresh(group, now) {
			getGroup(group, now).budget.noteFresh(now);
		},
		decide({group: name, ...request}, now) {
			const {budget, retryAfterSlots} = getGroup(name, now);
			const state = budget.getState(now);
			const next = getNextTry({...request, budget: state}, now);
			if (next.retry) {
				budget.take(now, next.cost);
			}

			// Refused callers try again one by one, no faster than fresh requests arrive; otherwise all would try again at the same moment.
			return next.retry || next.reason !== GiveUpReason.Budget
				? next
				: {...next, retryAfterMs: retryAfterSlots.take(next.retryAfterMs ?? 0, state.freshEveryMs, now)};
		},
		getBudget: (group, now) => getGroup(group, now).budget,
		forget(group) {
			groups.delete(group);
		},
	};
}

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		retries: Retries;
	}
}
