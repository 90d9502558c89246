import {createRetryBudget, type RetryBudget, type RetryBudgetOptions} from './retry-budget.js';

/** The budgets of all groups at this entry. */
export type RetryBudgets = {
	/** The group's budget; made at the first call. */
	getBudget(group: string, now: number): RetryBudget;
	/** Forgets a group that was deleted. */
	forget(group: string): void;
};

/** Creates the budgets; one group's failures never spend another's. */
export function createRetryBudgets(options: RetryBudgetOptions = {}): RetryBudgets {
	const budgets = new Map<string, RetryBudget>();

	return {
		getBudget(group, now) {
			const known = budgets.get(group);
			if (known) {
				return known;
			}

			const created = createRetryBudget(options, now);
			budgets.set(group, created);
			return created;
		},
		forget(group) {
			budgets.delete(group);
		},
	};
}
