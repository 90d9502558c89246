import type {RetryBudget} from '../retries/retry-budget.js';
import {AnswerCode} from '../statements/statement-answer.js';
import type {Clock} from '../time/clock.js';
import type {GatewayParts} from './gateway-parts.js';
import type {StatementTrace} from './statement-trace.js';

/** Decides whether a statement may be sent to an endpoint once more, within its group's retry budget. */
export interface SecondAttempts {
	/** Notes that the statement arrived. */
	noteArrived(): void;
	/** Notes that an endpoint answered it. */
	noteAnswered(): void;
	/** Returns whether another attempt may be made after one that ended for that reason, or that is still under way. */
	mayTryAgain(reason: string, isUnderWay: boolean): boolean;
}

/** Takes only attempts beside one that is under way from the budget, which double the load of a slow endpoint. */
export class HedgeAttempts implements SecondAttempts {
	constructor(private readonly budget: RetryBudget, private readonly clock: Clock) {}

	noteArrived(): void {
		this.budget.noteFresh(this.clock.now());
	}

	noteAnswered() {} // eslint-disable-line @typescript-eslint/no-empty-function

	mayTryAgain(_reason: string, isUnderWay: boolean): boolean {
		return !isUnderWay || this.budget.take(this.clock.now());
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
	constructor(private readonly budget: RetryBudget, private readonly clock: Clock, private readonly trace: StatementTrace) {}

	noteArrived(): void {
		this.budget.noteFresh(this.clock.now());
	}

	noteAnswered(): void {
		this.budget.noteTry(false, this.clock.now());
	}

	mayTryAgain(reason: string, isUnderWay: boolean): boolean {
		const now = this.clock.now();
		this.budget.noteTry(reason === AnswerCode.Overloaded, now);
		// What a pool refused has reached no endpoint, and mostly so what a replica refused as lagging, so another attempt adds no load.
		const isFree = !isUnderWay && (this.trace.queueRefusal !== undefined || reason === AnswerCode.Lagging);
		return isFree || this.budget.take(now);
	}
}

/** Creates the second attempts of a read. */
export function createSecondAttempts({estimates, clock}: GatewayParts, budget: RetryBudget, trace: StatementTrace): SecondAttempts {
	return estimates ? new BudgetedAttempts(budget, clock, trace) : new HedgeAttempts(budget, clock);
}

/** Creates the second attempts of a write. */
export function createWriteAttempts({estimates, clock}: GatewayParts, budget: RetryBudget, trace: StatementTrace): SecondAttempts {
	return estimates ? new BudgetedAttempts(budget, clock, trace) : new UnlimitedAttempts();
}
