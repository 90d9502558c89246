import type {WorkClass} from '../groups/group-config.js';
import type {ClassShares} from './class-shares.js';
import type {ServiceTime} from './service-time.js';

/** Predicts how long requests wait for a slot. */
export type WaitPrediction = {
	/** Time between two turns of a class, in milliseconds, as the model has it. */
	getTurnMs(workClass: WorkClass, situation: QueueSituation): number;
	/** Wait at a place in the class's queue (from 0), in milliseconds: turns, times what was learned. */
	predictMs(workClass: WorkClass, place: number, situation: QueueSituation): number;
	/** Learns from a request that waited `waitedMs` where the model had it wait `modelMs`. */
	learn(workClass: WorkClass, modelMs: number, waitedMs: number): void;
};

/** What a prediction is made on. */
export type QueueSituation = {
	readonly limit: number;
	/** Whether another class has requests waiting. */
	readonly isContended: boolean;
	/** How long all slots have been held without one given back, in milliseconds. */
	readonly stalledMs: number;
};

/** Part of the slots that a class without a share is predicted to get beside others. */
const LEAST_PART = 0.05;

/** Without a slot given back for this many turns, the server is slower than it was measured. */
const STALLED_TURNS = 3;

/** Weight of the newest wait in what is learned. */
const LEARNING_WEIGHT = 0.05;

/** Weight of the model at the start, as a wait in milliseconds that was predicted exactly. */
const INITIAL_WAIT_MS = 20;

const LEAST_CORRECTION = 0.5;
const MOST_CORRECTION = 4;

/**
 * Creates a prediction without experience.
 *
 * The model is coarse: beside other classes a class gets its share, alone all slots. What it leaves out (those who overtake
 * with an earlier deadline, classes that come and go) is learned as the ratio between waits and what the model had said.
 */
export function createWaitPrediction(shares: ClassShares, serviceTime: ServiceTime): WaitPrediction {
	const createWaits = () => ({modelMs: INITIAL_WAIT_MS, waitedMs: INITIAL_WAIT_MS});
	const learned = {deadline: createWaits(), interactive: createWaits(), background: createWaits()};

	const getCorrection = (workClass: WorkClass) => {
		const {modelMs, waitedMs} = learned[workClass];
		return Math.min(MOST_CORRECTION, Math.max(LEAST_CORRECTION, waitedMs / modelMs));
	};

	const getTurnMs = (workClass: WorkClass, {limit, isContended, stalledMs}: QueueSituation) => {
		const part = isContended ? Math.max(LEAST_PART, shares.getShare(workClass)) : 1;
		const measuredMs = serviceTime.getClassMeanMs(workClass) / (limit * part);
		// A server that answers nothing leaves no samples: without this its queue would look as fast as it last was.
		return Math.max(measuredMs, stalledMs / STALLED_TURNS);
	};

	return {
		getTurnMs,
		predictMs: (workClass, place, situation) => (place + 1) * getTurnMs(workClass, situation) * getCorrection(workClass),
		learn(workClass, modelMs, waitedMs) {
			const waits = learned[workClass];
			waits.modelMs += LEARNING_WEIGHT * (modelMs - waits.modelMs);
			waits.waitedMs += LEARNING_WEIGHT * (waitedMs - waits.waitedMs);
		},
	};
}
