import type {WorkClass} from '../groups/group-config.js';

/** Decides how many statements may run at an endpoint at once. */
export type ConcurrencyLimit = {
	/** The limit in force, a whole number from 1. */
	readonly limit: number;
	/** Records a statement that released its slot. */
	observe(sample: SlotSample): void;
};

/** How long one statement held its slot, and whether it was answered. */
export type SlotSample = {
	readonly class: WorkClass;
	readonly heldMs: number;
	/** Whether the endpoint answered. */
	readonly served: boolean;
};

/** A constant limit. */
export class FixedLimit implements ConcurrencyLimit {
	constructor(readonly limit: number) {}

	observe() {} // eslint-disable-line @typescript-eslint/no-empty-function
}
