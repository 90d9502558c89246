import type {AcquireRequest} from '../links/endpoint-pool.js';
import type {SessionLink} from '../links/link-session.js';

/** A request that waits in a scheduled queue. Times are steady, in milliseconds. */
export type ScheduledRequest = {
	readonly request: AcquireRequest;
	/** Order of arrival. */
	readonly order: number;
	/** Time at which it began to wait. */
	readonly since: number;
	/** Expected time for which it holds a slot, in milliseconds. */
	readonly serviceMs: number;
	/** Number of places of the pool on arrival. */
	readonly places: number;
	/** Wait that the model estimated on arrival, before any correction, in milliseconds. */
	modelWaitMs: number;
	/** Class of requests whose learned correction applies to it. */
	correctionClass: number;
	/** Wait that was predicted on arrival, in milliseconds. */
	predictedWaitMs: number;
	/** Ends the wait with a connection, or with undefined where there is none. */
	resolve(sessionLink: SessionLink | undefined): void;
};

/** Returns whether the request can still start within its latency target. */
export function isInTime({request}: Pick<ScheduledRequest, 'request'>, now: number): boolean {
	return request.startBy === undefined || now <= request.startBy;
}

/** Returns whether the request no longer waits: its caller has left, or its time has passed. */
export function hasEnded({request}: ScheduledRequest, now: number): boolean {
	return request.until <= now || request.isWanted?.() === false;
}

/** Returns the factor by which slot time of the request's workspace counts: a workspace of weight 1/2 may use half as much. */
export function getCostFactor({weight = 1}: Pick<AcquireRequest, 'weight'>): number {
	return 1 / weight;
}
