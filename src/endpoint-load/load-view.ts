import type {EndpointLoad} from '../links/endpoint-load.js';
import type {LoadReports} from './load-reports.js';

/** What a host knows of the load of an endpoint. */
export type LoadEstimate = {
	/** Weight of the estimate by the age of its newest report, from 0 to 1; 0 where nothing is known. */
	readonly weight: number;
	/** Number of statements that the reporting pool hosts may have in flight at the endpoint. */
	readonly limit: number;
	/** Number of their statements that are in flight, and of this host's that were sent since. */
	readonly inFlight: number;
	/** Number of requests that wait at them. */
	readonly queued: number;
	/** Time of a statement without waiting, in milliseconds. */
	readonly serviceMs: number;
	/** Expected wait of a new request, in milliseconds. */
	readonly waitMs: number;
	/** Age of the newest report, in milliseconds. */
	readonly ageMs: number;
};

/** The load of endpoints as this host knows it. */
export type LoadView = {
	/** Notes that this host sends a request to the endpoint; returns a function to be called once it has ended. */
	noteSent(endpointId: string, now: number): () => void;
	/** Returns the load of the endpoint. */
	get(endpointId: string, now: number, assumed: AssumedLoad): LoadEstimate;
};

/** What is assumed of an endpoint as far as no report says it. */
export type AssumedLoad = {
	/** Number of statements that it executes concurrently. */
	readonly slots: number;
	/** Time of a statement without waiting, in milliseconds. */
	readonly serviceMs: number;
	/** Load of this host's own pool, where the host is a pool host of the endpoint. */
	readonly own?: EndpointLoad;
};

/** Age up to which a report has full weight, in milliseconds: the interval at which pool hosts adjust their limits. */
const FULL_WEIGHT_MS = 100;

/** Age from which a report has no weight, in milliseconds: a queue of this length has changed entirely. */
const NO_WEIGHT_MS = 1000;

const UNKNOWN: LoadEstimate = {
	weight: 0, limit: 0, inFlight: 0, queued: 0, serviceMs: 0, waitMs: 0, ageMs: Number.POSITIVE_INFINITY,
};

/** Creates a view that has no requests of this host in flight. */
export function createLoadView(reports: LoadReports): LoadView {
	/** Times at which requests of this host that have not ended were sent, by endpoint, oldest first. */
	const sent = new Map<string, Set<{readonly at: number}>>();

	const countSentSince = (endpointId: string, since: number) => {
		let count = 0;
		for (const {at} of sent.get(endpointId) ?? []) {
			count += at > since ? 1 : 0;
		}

		return count;
	};

	return {
		noteSent(endpointId, at) {
			const requests = sent.get(endpointId) ?? new Set();
			sent.set(endpointId, requests);
			const request = {at};
			requests.add(request);
			return () => {
				requests.delete(request);
				if (requests.size === 0 && sent.get(endpointId) === requests) {
					sent.delete(endpointId);
				}
			};
		},
		get(endpointId, now, assumed) {
			if (assumed.own) {
				const own = complete(assumed.own, assumed);
				return {
					...own, waitMs: getWaitMs(own), weight: 1, ageMs: 0,
				};
			}

			let totalWeight = 0;
			let best = UNKNOWN;
			let newestAt = Number.NEGATIVE_INFINITY;
			for (const {load, receivedAt} of reports.list(endpointId)) {
				const weight = getWeight(now - receivedAt);
				if (weight > 0) {
					newestAt = Math.max(newestAt, receivedAt);
					best = add(best, complete(load, assumed), weight);
					totalWeight += weight;
				}
			}

			if (totalWeight === 0) {
				return UNKNOWN;
			}

			const {limit, inFlight, queued, serviceMs, waitMs} = best;
			const sentSince = countSentSince(endpointId, newestAt);
			const meanServiceMs = serviceMs / totalWeight;
			return {
				weight: getWeight(now - newestAt),
				limit,
				inFlight: inFlight + sentSince,
				queued,
				serviceMs: meanServiceMs,
				waitMs: (waitMs / totalWeight) + getAddedWaitMs(limit - inFlight - queued, sentSince, meanServiceMs, limit),
				ageMs: now - newestAt,
			};
		},
	};
}

/** Returns a load with the assumed values for those that the pool does not know. */
function complete(load: EndpointLoad, {slots, serviceMs}: AssumedLoad): EndpointLoad {
	return {...load, limit: Number.isFinite(load.limit) ? load.limit : slots, serviceMs: load.serviceMs > 0 ? load.serviceMs : serviceMs};
}

/** Returns the weight of a report of that age, from 1 to 0. */
function getWeight(ageMs: number): number {
	return Math.max(0, Math.min(1, (NO_WEIGHT_MS - ageMs) / (NO_WEIGHT_MS - FULL_WEIGHT_MS)));
}

function add(sum: LoadEstimate, load: EndpointLoad, weight: number): LoadEstimate {
	return {
		...sum,
		limit: sum.limit + load.limit,
		inFlight: sum.inFlight + load.inFlight,
		queued: sum.queued + load.queued,
		serviceMs: sum.serviceMs + (weight * load.serviceMs),
		waitMs: sum.waitMs + (weight * getWaitMs(load)),
	};
}

/** Returns the wait that a pool predicts, or one derived from its queue where it predicts none. */
function getWaitMs({limit, inFlight, queued, serviceMs, waitMs}: EndpointLoad): number {
	return waitMs > 0 ? waitMs : getAddedWaitMs(limit - inFlight, queued, serviceMs, limit);
}

/** Returns the wait that `added` requests cause beyond the `free` places, in milliseconds. */
function getAddedWaitMs(free: number, added: number, serviceMs: number, limit: number): number {
	const beyond = added - Math.max(0, free);
	return beyond > 0 && limit > 0 ? (beyond * serviceMs) / limit : 0;
}
