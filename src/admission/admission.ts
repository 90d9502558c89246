import type {WorkClass} from '../groups/group-config.js';
import type {Refusal} from '../refusals/refusal.js';

/** Admission control of one endpoint: decides which requests run, in which order, and which are refused. */
export type Admission = {
	/**
	 * Requests one of the endpoint's slots.
	 *
	 * Resolves with a slot once one is granted, or with a refusal as soon as the request cannot meet its deadline.
	 */
	acquire(req: AdmissionRequest, now: number): Promise<AdmissionResult>;
	/** Returns the predicted wait of a request of the class that arrives now, in milliseconds. */
	getPredictedWaitMs(workClass: WorkClass, now: number): number;
	/** Returns the current load, for operators and metrics. */
	getLoad(): AdmissionLoad;
	/** Refuses all waiting requests, and every later one. */
	close(refusal: Refusal, now: number): void;
};

/** The properties of a request that admission depends on. */
export type AdmissionRequest = {
	readonly class: WorkClass;
	/** Time at which its caller stops waiting, on the clock's `now`. */
	readonly deadlineAt: number;
};

/** A slot, or the reason why there is none. */
export type AdmissionResult =
	| {readonly admitted: true; readonly queuedMs: number; /** Releases the slot; `served` is false where the endpoint did not answer. */ release(now: number, served: boolean): void}
	| {readonly admitted: false; readonly refusal: Refusal};

/** Load of an endpoint that comes from this owner. */
export type AdmissionLoad = {
	readonly running: number;
	readonly limit: number;
	readonly queued: Readonly<Record<WorkClass, number>>;
	/** Smoothed time for which a statement holds a slot, in milliseconds. */
	readonly serviceMs: number;
};
