import type {QueueRefusal} from '../links/endpoint-pool.js';
import type {LinkTarget} from '../links/endpoint-link.js';
import type {Log} from '../log/log.js';
import {createRetryAfterSlots, type RetryAfterSlots} from '../refusals/retry-after-slots.js';
import type {ScheduledRequest} from './scheduled-request.js';
import {RefusalCause, type SchedulingMetrics} from './scheduling-metrics.js';

/** Refuses requests of a scheduled queue. */
export type QueueRefusals = {
	/** Tells the request's caller why it gets no connection and when to come back, counts it, and ends its wait. */
	refuse(waiter: ScheduledRequest, cause: RefusalCause, predicted: RefusalForecast, now: number): void;
};

/** What a refusal is based on. Times in milliseconds. */
export type RefusalForecast = {
	/** Wait that is predicted for the request from now on. */
	readonly waitMs: number;
	/** Time until the queue of the request's level is served. */
	readonly drainMs: number;
	/** Time between two requests that start. */
	readonly turnMs: number;
	readonly queued: number;
	readonly limit: number;
};

/** Maximum retry-after, in milliseconds: an overload ends sooner than this, and callers retry twice within their deadline of 1,500 ms or more. */
const MAX_RETRY_AFTER_MS = 2000;

/** Minimum interval between two log lines on refusals at one endpoint, in milliseconds; each line tells how many there were since the last. */
const LOG_INTERVAL_MS = 1000;

const REASONS: Record<RefusalCause, string> = {
	[RefusalCause.Predicted]: 'the queue at the endpoint is longer than the request may wait',
	[RefusalCause.Overtaken]: 'the queue at the endpoint became longer than the request may wait',
	[RefusalCause.Expired]: 'the time that the request may wait has passed',
	[RefusalCause.Unreachable]: 'the endpoint does not answer',
};

/** Creates the refusals of one pool. */
export function createQueueRefusals(target: LinkTarget, log: Log, metrics: SchedulingMetrics | undefined): QueueRefusals {
	/** One row of retry-after times for each level, since those of urgent requests must not lie behind those of others. */
	const retryAfterSlots = new Map<number, RetryAfterSlots>();
	let loggedAt = Number.NEGATIVE_INFINITY;
	let unlogged = 0;

	const getSlots = (level: number) => {
		const slots = retryAfterSlots.get(level) ?? createRetryAfterSlots(MAX_RETRY_AFTER_MS);
		retryAfterSlots.set(level, slots);
		return slots;
	};

	const logRefusal = ({request, since}: ScheduledRequest, cause: RefusalCause, refusal: QueueRefusal, {queued, limit}: RefusalForecast, now: number) => {
		unlogged++;
		if (now - loggedAt < LOG_INTERVAL_MS) {
			return;
		}

		loggedAt = now;
		log.info('requests were refused by the queue of an endpoint', {
			endpoint: target.endpointId, group: target.group, count: unlogged, cause, level: request.priority, workspace: request.workspace,
			waitedMs: Math.round(now - since), predictedWaitMs: Math.round(refusal.predictedWaitMs), leftMs: Math.round(request.until - now), retryAfterMs: refusal.retryAfterMs, queued, limit,
		});
		unlogged = 0;
	};

	return {
		refuse(waiter, cause, forecast, now) {
			const {request} = waiter;
			const refusal: QueueRefusal = {
				reason: REASONS[cause],
				retryAfterMs: getSlots(request.priority).take(forecast.drainMs, forecast.turnMs, now),
				predictedWaitMs: forecast.waitMs,
				queued: forecast.queued,
				limit: forecast.limit,
			};
			metrics?.countQueueRefusal(request.priority, cause);
			logRefusal(waiter, cause, refusal, forecast, now);
			request.onRefused?.(refusal);
			waiter.resolve(undefined);
		},
	};
}
