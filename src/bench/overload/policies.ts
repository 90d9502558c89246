import type {Admission} from '../../admission/admission.js';
import {createAdmission, type AdmissionOptions} from '../../admission/create-admission.js';
import type {Clock} from '../../time/clock.js';
import {createFifoAdmission} from './fifo-admission.js';

/** An overload protection policy for a server. */
export type Policy = {
	readonly name: string;
	createAdmission(context: PolicyContext): Admission;
	/** Whether retries are limited by a budget. */
	readonly hasRetryBudget: boolean;
	/** Whether a statement is given up at its deadline; else its slot is held until the server answers. */
	readonly givesUp: boolean;
};

/** What a policy creates its admission from. */
export type PolicyContext = {
	readonly slots: number;
	readonly owners: number;
	readonly clock: Clock;
};

/** The class shares that a group has by default. */
export const SHARES = {deadline: 0.5, interactive: 0.3, background: 0.1};

/** Queue capacity of the fixed-concurrency policy, in requests. */
const FIXED_QUEUE = 60;

/** The product's admission, with some of its options set. */
export function createProductPolicy(name: string, options: Partial<AdmissionOptions> = {}, hasRetryBudget = true): Policy {
	return {
		name,
		hasRetryBudget,
		givesUp: true,
		createAdmission: context => createAdmission({
			endpoint: 'hall-a-1', shares: SHARES, ...context, ...options,
		}),
	};
}

/** The product with its default settings. */
export const PRODUCT = createProductPolicy('admission and retry budget');

/** The policies that every run compares the product with. */
export const BASELINES: readonly Policy[] = [
	createProductPolicy('admission without retry budget', {}, false),
	{
		name: 'fixed concurrency',
		hasRetryBudget: false,
		givesUp: true,
		createAdmission: ({slots}) => createFifoAdmission(slots, FIXED_QUEUE),
	},
	{
		name: 'no admission',
		hasRetryBudget: false,
		givesUp: false,
		createAdmission: ({slots}) => createFifoAdmission(slots),
	},
];
