import type {WorkClass} from '../groups/group-config.js';

/** Decides how many statements may run at an endpoint at once. */
export type ConcurrencyLimit = {
	/** The limit in force, a whole number from 1. */
	readonly limit: number;
	/** Notes a statement that gave its slot back. */
	observe(sample: SlotSample): void;
};

/** How one statement's stay in its slot went. */
export type SlotSample = {
	readonly class: WorkClass;
	readonly heldMs: number;
	/** Whether the endpoint gave an answer. */
	readonly served: boolean;
};

/** A limit that stays as it is. */
export class FixedLimit implements ConcurrencyLimit {
	constructor(readonly limit: number) {}

	observe() {} // eslint-disable-line @typescript-eslint/no-empty-function
}
