import {createComeBackTimes} from '../refusals/come-back-times.js';
import {createRetryBudget, type RetryBudget, type RetryBudgetOptions} from './retry-budget.js';
import {
	getNextTry, GiveUpReason, type NextTry, type NextTryOptions,
} from './retry-policy.js';

/** The entry's retries: the policy, and a budget for each group. */
export type Retries = {
	/** Notes the first try of a request of the group. */
	noteFresh(group: string, now: number): void;
	/** Decides what follows a failed try, and takes a retry out of the group's budget where one is made. */
	decide(options: RetryOptions, now: number): NextTry;
	/** What is left of the group's budget, for refusals and metrics. */
	getBudget(group: string, now: number): RetryBudget;
	/** Forgets a group that was deleted. */
	forget(group: string): void;
};

/** What is known of a request whose try failed. */
export type RetryOptions = Omit<NextTryOptions, 'budget'> & {
	readonly group: string;
};

/** Longest time a caller is told to stay away when a budget is exhausted, in milliseconds. */
const LONGEST_COME_BACK_MS = 10_000;

/** Creates the retries; one group's failures never spend another's budget. */
export function createRetries(options: RetryBudgetOptions = {}): Retries {
	const groups = new Map<string, ReturnType<typeof createGroup>>();

	const createGroup = (now: number) => ({
		budget: createRetryBudget(options, now),
		comeBackTimes: createComeBackTimes(LONGEST_COME_BACK_MS),
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
			const {budget, comeBackTimes} = getGroup(name, now);
			const state = budget.getState(now);
			const next = getNextTry({...request, budget: state}, now);
			if (next.retry) {
				budget.take(now, next.cost);
			}

			// Those who are refused come back one by one, no faster than fresh requests: else they would return as one storm.
			return next.retry || next.reason !== GiveUpReason.Budget
				? next
				: {...next, retryAfterMs: comeBackTimes.take(next.retryAfterMs ?? 0, state.freshEveryMs, now)};
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
