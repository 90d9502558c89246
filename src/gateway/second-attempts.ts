import type {RetryBudget} from '../retries/retry-budget.js';
import {AnswerCode} from '../statements/statement-answer.js';
import type {Clock} from '../time/clock.js';
import type {GatewayParts} from './gateway-parts.js';

/** Decides whether a statement may be sent to an endpoint once more, within its group's retry budget. */
export interface SecondAttempts {
	/** Notes that the statement arrived. */
	noteArrived(): void;
	/** Notes that an endpoint answered it. */
	noteAnswered(): void;
	/** Returns whether another attempt may be made after one that ended for that reason, undefined while it is under way; `isUnsent` says that it did not reach an endpoint. */
	mayTryAgain(reason: string | undefined, isUnsent: boolean): boolean;
}

/** Takes only attempts after one that is still under way from the budget, which double the load of a slow endpoint. */
export class HedgeAttempts implements SecondAttempts {
	constructor(private readonly budget: RetryBudget, private readonly clock: Clock) {}

	noteArrived(): void {
		this.budget.noteFresh(this.clock.now());
	}

	noteAnswered() {} // eslint-disable-line @typescript-eslint/no-empty-function

	mayTryAgain(reason: string | undefined): boolean {
		return reason !== undefined || this.budget.take(this.clock.now());
	}
}

/** Allows every further attempt, as of writes that an endpoint has proved not to have run. */
export class UnlimitedAttempts implements SecondAttempts {
	noteArrived() {} // eslint-disable-line @typescript-eslint/no-empty-function

	noteAnswered() {} // eslint-disable-line @typescript-eslint/no-empty-function

	mayTryAgain(): boolean {
		return true;
	}
}

/** Takes each further attempt from the budget, which shrinks with the share of attempts that are refused for overload. */
export class BudgetedAttempts implements SecondAttempts {
	constructor(private readonly budget: RetryBudget, private readonly clock: Clock) {}

	noteArrived(): void {
		this.budget.noteFresh(this.clock.now());
	}

	noteAnswered(): void {
		this.budget.noteTry(false, this.clock.now());
	}

	mayTryAgain(reason: string | undefined, isUnsent: boolean): boolean {
		const now = this.clock.now();
		this.budget.noteTry(reason === AnswerCode.Overloaded, now);
		// A replica that lags refuses few reads itself, since its pool hosts refuse most of them; a read must not be refused for that while the primary has room.
		return isUnsent || reason === AnswerCode.Lagging || this.budget.take(now);
	}
}

/** Creates the second attempts of a read. */
export function createSecondAttempts({estimates, clock}: GatewayParts, budget: RetryBudget): SecondAttempts {
	return estimates ? new BudgetedAttempts(budget, clock) : new HedgeAttempts(budget, clock);
}

/** Creates the second attempts of a write. */
export function createWriteAttempts({estimates, clock}: GatewayParts, budget: RetryBudget): SecondAttempts {
	return estimates ? new BudgetedAttempts(budget, clock) : new UnlimitedAttempts();
}
