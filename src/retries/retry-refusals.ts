import {RefusalCode, type Refusal} from '../refusals/refusal.js';
import type {RetryBudgetState} from './retry-budget.js';

/** Options of the refusal of a retry. */
export type RetryBudgetRefusalOptions = {
	readonly group: string;
	/** Number of tries made. */
	readonly tries: number;
	readonly budget: RetryBudgetState;
	/** Why the last try failed; undefined where no answer came. */
	readonly lastCode?: RefusalCode;
	readonly retryAfterMs: number;
};

/** Creates the refusal of a request whose group has used up its retry budget. */
export function createRetryBudgetRefusal(options: RetryBudgetRefusalOptions): Refusal {
	const {group, tries, budget, lastCode, retryAfterMs} = options;
	return {
		code: RefusalCode.RetryBudget,
		reason: `try ${tries} failed, and too many requests of group ${group} are being retried`,
		retryAfterMs,
		facts: {
			group, tries, lastCode, retryAfterMs, budgetLeft: budget.left, budgetNextAfterMs: budget.nextAfterMs,
		},
	};
}
