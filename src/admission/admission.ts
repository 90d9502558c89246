import type {WorkClass} from '../groups/group-config.js';
import type {Refusal} from '../refusals/refusal.js';

/** Decides what runs at one endpoint, in which order, and what is refused at once. */
export type Admission = {
	/**
	 * Asks for one of the endpoint's slots.
	 *
	 * Resolves with a grant when its turn comes, or with a refusal as soon as it is known that it cannot come in time.
	 */
	enter(req: AdmissionRequest, now: number): Promise<AdmissionAnswer>;
	/** How long a request of the class that came now would wait, in milliseconds. */
	getPredictedWaitMs(workClass: WorkClass, now: number): number;
	/** Figures for operators and metrics. */
	getLoad(): AdmissionLoad;
	/** Refuses all that waits, and all that comes. */
	close(refusal: Refusal, now: number): void;
};

/** What admission needs to know of a request. */
export type AdmissionRequest = {
	readonly class: WorkClass;
	/** When its caller stops waiting, on the clock's `now`. */
	readonly deadlineAt: number;
};

/** A slot, or the reason why there is none. */
export type AdmissionAnswer =
	| {readonly admitted: true; readonly queuedMs: number; /** Gives the slot back; `served` is false where the endpoint gave no answer. */ release(now: number, served: boolean): void}
	| {readonly admitted: false; readonly refusal: Refusal};

/** How busy an endpoint is as its owner sees it. */
export type AdmissionLoad = {
	readonly running: number;
	readonly limit: number;
	readonly queued: Readonly<Record<WorkClass, number>>;
	/** Smoothed time a statement holds a slot, in milliseconds. */
	readonly serviceMs: number;
};
