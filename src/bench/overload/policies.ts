import type {Admission} from '../../admission/admission.js';
import {createAdmission, type AdmissionOptions} from '../../admission/create-admission.js';
import type {Clock} from '../../time/clock.js';
import {createFifoAdmission} from './baselines.js';

/** A way of protecting a server, to be compared with others. */
export type Policy = {
	readonly name: string;
	createAdmission(context: PolicyContext): Admission;
	/** Whether retries come out of a budget. */
	readonly hasRetryBudget: boolean;
	/** Whether a statement is given up at its deadline; else its slot is held until the server answers. */
	readonly givesUp: boolean;
};

/** What a policy has to do with. */
export type PolicyContext = {
	readonly slots: number;
	readonly owners: number;
	readonly clock: Clock;
};

/** The shares that a group has by default. */
export const SHARES = {deadline: 0.5, interactive: 0.3, background: 0.1};

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

/** The product as it ships. */
export const PRODUCT = createProductPolicy('admission and retry budget');

/** What it is compared with in every run. */
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
