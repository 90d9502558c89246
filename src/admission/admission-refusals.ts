import {RefusalCode, type Refusal, type RefusalFacts} from '../refusals/refusal.js';

/** @internal The inputs of an admission decision. Times are in milliseconds. */
export type AdmissionFacts = RefusalFacts & {
	readonly endpoint: string;
	readonly class: string;
	/** Time left until the request's deadline; negative once it has passed. */
	readonly remainingMs: number;
	/** How long the request waited. */
	readonly waitedMs: number;
	/** Predicted further wait. */
	readonly predictedWaitMs: number;
	/** Smoothed time for which a statement of the class holds a slot. */
	readonly serviceMs: number;
	/** Predicted interval at which the class gets a slot. */
	readonly turnMs: number;
	/** Number of waiting requests of the class. */
	readonly queued: number;
	readonly maxQueued: number;
	readonly running: number;
	readonly limit: number;
	/** The class's share of the slots. */
	readonly share: number;
	/** How long all slots have been held without a release. */
	readonly stalledMs: number;
};

/** @internal */
export function createQueueFull(facts: AdmissionFacts, retryAfterMs: number): Refusal {
	return {
		code: RefusalCode.QueueFull,
		reason: `all ${facts.maxQueued} places in the ${facts.class} queue of ${facts.endpoint} are taken`,
		retryAfterMs,
		facts,
	};
}

/** @internal */
export function createDeadlineTooShort(facts: AdmissionFacts, retryAfterMs: number): Refusal {
	const neededMs = Math.ceil(facts.predictedWaitMs + facts.serviceMs);
	return {
		code: RefusalCode.DeadlineTooShort,
		reason: `${facts.endpoint} would need about ${neededMs} ms, and ${Math.floor(facts.remainingMs)} ms are left`,
		retryAfterMs,
		facts,
	};
}

/** @internal */
export function createDeadlinePassed(facts: AdmissionFacts, retryAfterMs: number): Refusal {
	return {
		code: RefusalCode.DeadlinePassed,
		reason: `the deadline passed ${Math.ceil(-facts.remainingMs)} ms before ${facts.endpoint} had a free slot`,
		retryAfterMs,
		facts,
	};
}
