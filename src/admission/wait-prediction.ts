import type {WorkClass} from '../groups/group-config.js';
import {createPredictionCorrection} from '../scheduling/prediction-correction.js';
import type {ServiceTime} from '../scheduling/service-time.js';
import type {ClassShares} from './class-shares.js';

/** Predicts how long requests wait for a slot. */
export type WaitPrediction = {
	/** Returns the interval at which the model lets a class have a slot, in milliseconds. */
	getTurnMs(workClass: WorkClass, state: QueueState): number;
	/** Returns the wait at a position in the class's queue (from 0), in milliseconds: the model's estimate times the learned correction. */
	predictMs(workClass: WorkClass, position: number, state: QueueState): number;
	/** Learns from a request that waited `waitedMs` where the model had estimated `modelMs`. */
	learn(workClass: WorkClass, modelMs: number, waitedMs: number): void;
};

/** The state of an endpoint's slots and queues that a prediction depends on. */
export type QueueState = {
	readonly limit: number;
	/** Whether another class has requests waiting. */
	readonly isContended: boolean;
	/** How long all slots have been held without a release, in milliseconds. */
	readonly stalledMs: number;
};

/** Fraction of the slots that a class is predicted to get at least while other classes wait too. */
const MIN_SLOT_FRACTION = 0.05;

/** A server that releases no slot for this many predicted intervals is taken to be slower than measured. */
const STALL_TURNS = 3;

/**
 * Creates a prediction that has learned nothing yet.
 *
 * The model is coarse: a class gets its share of the slots while other classes wait, and all slots otherwise. What it leaves
 * out (requests that overtake with an earlier deadline, classes that start or stop waiting) is learned as the ratio between
 * measured waits and the model's estimates.
 */
export function createWaitPrediction(shares: ClassShares, serviceTime: ServiceTime<WorkClass>): WaitPrediction {
	const correction = createPredictionCorrection<WorkClass>();

	const getTurnMs = (workClass: WorkClass, {limit, isContended, stalledMs}: QueueState) => {
		const slotFraction = isContended ? Math.max(MIN_SLOT_FRACTION, shares.getShare(workClass)) : 1;
		const measuredMs = serviceTime.getClassMeanMs(workClass) / (limit * slotFraction);
		// A server that answers nothing adds no samples: without this, predictions would keep the speed at which it last answered.
		return Math.max(measuredMs, stalledMs / STALL_TURNS);
	};

	return {
		getTurnMs,
		predictMs: (workClass, position, state) => (position + 1) * getTurnMs(workClass, state) * correction.get(workClass),
		learn: correction.learn,
	};
}
