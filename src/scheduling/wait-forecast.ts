import {createPredictionCorrection} from './prediction-correction.js';
import {compareStartBy, type UrgencyOrder} from './urgency-order.js';
import {getCostFactor, isInTime, type ScheduledRequest} from './scheduled-request.js';

/** The state of a pool that a prediction depends on. */
export type PoolState = {
	/** Number of requests that the pool can have in flight, at least 1. */
	readonly places: number;
	/** Smoothed time for which a request holds a place, in milliseconds. */
	readonly meanServiceMs: number;
	/** How long all places have been held without a release, in milliseconds. */
	readonly stalledMs: number;
	/** Slot time for opening connections that each request costs on average, in milliseconds. */
	readonly openingMsPerRequest: number;
};

/** A wait as the model estimates it, and with the learned correction, in milliseconds. */
export type PredictedWait = {
	readonly modelMs: number;
	readonly waitMs: number;
	/** Class of requests whose correction was used, to learn from the real wait. */
	readonly correctionClass: number;
};

/** A waiting request that would start too late, with its further wait in milliseconds. */
export type HopelessRequest = {readonly waiter: ScheduledRequest; readonly waitMs: number};

/** Predicts how long the requests of a scheduled queue wait. */
export type WaitForecast = {
	/** Predicts the wait of one request from what would be served before it, whether it is in the queue or not. */
	predict(subject: Pick<ScheduledRequest, 'request' | 'order'>, waiting: Iterable<ScheduledRequest>, state: PoolState, now: number): PredictedWait;
	/**
	 * Returns the waiting requests that would start after their time: the least urgent ones, since what is refused delays nobody. The estimate goes without the correction, since it is made anew as others arrive:
	 * with it, queues were cut so short that less urgent requests took places which urgent ones had been refused.
	 */
	findHopeless(waiting: readonly ScheduledRequest[], state: PoolState, now: number): readonly HopelessRequest[];
	/** Returns the time in which the queue of a level and of those above it is served, in milliseconds. */
	predictDrainMs(level: number, waiting: Iterable<ScheduledRequest>, state: PoolState, now: number): number;
	/** Learns from a request that waited. */
	learn(correctionClass: number, modelMs: number, waitedMs: number): void;
};

/** An endpoint that releases no place for this many predicted intervals is taken to be slower than measured. */
const STALL_TURNS = 3;

/** Share of the places that a level is predicted to get at least. */
const MIN_FRACTION = 0.05;

/**
 * Creates a forecast that has learned nothing yet.
 *
 * It responds to overload: a request that would start too late is refused while its caller can still try elsewhere. The model takes the work ahead in the order, with
 * the openings of connections that it costs, over the places that more urgent levels leave to the level. What it leaves out (later arrivals that overtake within the level)
 * is learned as the ratio between measured waits and estimates.
 */
export function createWaitForecast(order: UrgencyOrder): WaitForecast {
	const correction = createPredictionCorrection<number>();

	/** Returns the fraction of the places that is left to a level: what more urgent levels used lately and the shares of waiting less urgent ones are taken away. */
	const getFraction = (level: number, waitingLevels: ReadonlySet<number>, places: number, now: number) => {
		let left = 1;
		for (const other of order.levels) {
			if (other < level) {
				left -= order.getUsedSlots(other, now) / places;
			} else if (other > level && waitingLevels.has(other)) {
				left -= order.getLeastShare(other);
			}
		}

		return Math.max(MIN_FRACTION, order.getLeastShare(level), left);
	};

	const estimate = (aheadMs: number, fraction: number, {places, meanServiceMs, stalledMs}: PoolState) => {
		const turnMs = meanServiceMs / places;
		// An endpoint that answers nothing adds no samples: without this, predictions would keep the speed at which it last answered.
		const slowdown = Math.max(1, stalledMs / (STALL_TURNS * Math.max(1, turnMs)));
		return (aheadMs + meanServiceMs) / (places * fraction) * slowdown;
	};

	const getLevels = (waiting: Iterable<ScheduledRequest>) => {
		const levels = new Set<number>();
		for (const {request} of waiting) {
			levels.add(request.priority);
		}

		return levels;
	};

	const getWork = ({serviceMs}: ScheduledRequest, {openingMsPerRequest}: PoolState) => serviceMs + openingMsPerRequest;

	return {
		predict(subject, waiting, state, now) {
			const {priority: level, workspace} = subject.request;
			const inTime = isInTime(subject, now);
			const levels = new Set<number>();
			const others = new Map<string | undefined, {workMs: number; readonly factor: number}>();
			let aheadMs = 0;
			let ownMs = 0;
			let peers = 0;
			let peersUsedMs = 0;
			for (const waiter of waiting) {
				const {request} = waiter;
				levels.add(request.priority);
				if (waiter.order === subject.order || request.priority > level) {
					continue;
				}

				if (request.priority === level) {
					peers++;
					peersUsedMs += order.getUsedMs(request.workspace, now);
				}

				const workMs = getWork(waiter, state);
				const otherInTime = isInTime(waiter, now);
				if (request.priority < level || (otherInTime && !inTime)) {
					aheadMs += workMs;
				} else if (otherInTime !== inTime) {
					continue;
				} else if (request.workspace === workspace) {
					ownMs += compareStartBy(waiter, subject as ScheduledRequest) < 0 ? workMs : 0;
				} else {
					const other = others.get(request.workspace);
					if (other) {
						other.workMs += workMs;
					} else {
						others.set(request.workspace, {workMs, factor: getCostFactor(request)});
					}
				}
			}

			// Another workspace is served before this request until it has used as much slot time, by weight, as this one will have by then.
			const usedMs = order.getUsedMs(workspace, now) + (ownMs * getCostFactor(subject.request));
			for (const [other, {workMs, factor}] of others) {
				aheadMs += Math.min(workMs, Math.max(0, (usedMs - order.getUsedMs(other, now)) / factor));
			}

			const modelMs = estimate(aheadMs + ownMs, getFraction(level, levels, state.places, now), state);
			// Later arrivals of quieter workspaces overtake the requests of those that have used more than the average.
			const isOvertaken = peers > 0 && order.getUsedMs(workspace, now) * peers > peersUsedMs;
			const correctionClass = (level * 2) + (isOvertaken ? 1 : 0);
			return {modelMs, waitMs: modelMs * correction.get(correctionClass), correctionClass};
		},
		findHopeless(waiting, state, now) {
			const levels = getLevels(waiting);
			const sorted = rankByTurn(waiting, order, state, now);
			const hopeless: HopelessRequest[] = [];
			let aheadMs = 0;
			let level: number | undefined;
			let fraction = 1;
			for (const waiter of sorted) {
				if (waiter.request.priority !== level) {
					level = waiter.request.priority;
					fraction = getFraction(level, levels, state.places, now);
				}

				const waitMs = estimate(aheadMs, fraction, state);
				if (now + waitMs >= waiter.request.until) {
					hopeless.push({waiter, waitMs});
				} else {
					aheadMs += getWork(waiter, state);
				}
			}

			return hopeless;
		},
		predictDrainMs(level, waiting, state, now) {
			let aheadMs = 0;
			for (const waiter of waiting) {
				aheadMs += waiter.request.priority <= level ? getWork(waiter, state) : 0;
			}

			return estimate(aheadMs, getFraction(level, getLevels(waiting), state.places, now), state) * correction.get(level * 2);
		},
		learn: correction.learn,
	};
}

/** Sorts waiting requests by the order in which they will be served, where each request that is served adds to what its workspace has used. */
function rankByTurn(waiting: readonly ScheduledRequest[], order: UrgencyOrder, state: PoolState, now: number): readonly ScheduledRequest[] {
	const used = new Map<string | undefined, number>();
	const ranked = waiting.toSorted(compareStartBy).map(waiter => {
		const {request} = waiter;
		const before = used.get(request.workspace) ?? order.getUsedMs(request.workspace, now);
		used.set(request.workspace, before + ((waiter.serviceMs + state.openingMsPerRequest) * getCostFactor(request)));
		return {waiter, before, late: isInTime(waiter, now) ? 0 : 1};
	});
	ranked.sort((left, right) => left.waiter.request.priority - right.waiter.request.priority || left.late - right.late || left.before - right.before);
	return ranked.map(({waiter}) => waiter);
}
