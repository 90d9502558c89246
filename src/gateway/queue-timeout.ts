import type {Route} from '../routes/routing.js';

/** How long a statement queues for busy endpoints. */
export type QueueTimeout = {
	/** Starts the timeout at the steady time `now` unless it has started; returns the steady time at which it ends. */
	start(now: number): number;
	/** Whether the timeout has started and ended by `now`. */
	isOver(now: number): boolean;
};

/** The timeout as a multiple of the route's latency target. */
const TARGET_FACTOR = 2;

/** Maximum share of a statement's timeout that it queues for: the rest leaves its caller time to try another host. */
const TIMEOUT_SHARE = 0.5;

/** Minimum of the timeout, in milliseconds, for routes that set no latency target and statement timeout, or very short ones. */
const MIN_QUEUE_MS = 100;

/**
 * Creates the queue timeout of a statement, or of the begin of a transaction, that has not queued yet.
 *
 * Guards against a group whose load exceeds what its endpoints can run. If statements queued until their statement timeout, they would be served when nobody
 * waits for the answer any more, or refused with no time left for another try, and each later statement would meet a queue as long. The timeout does not
 * start while no primary is known, since that state ends without a decrease in load.
 */
export function createQueueTimeout({targetLatencyMs, statementTimeoutMs}: Route): QueueTimeout {
	const queueMs = Math.max(MIN_QUEUE_MS, Math.min(targetLatencyMs === 0 ? Number.POSITIVE_INFINITY : targetLatencyMs * TARGET_FACTOR, statementTimeoutMs * TIMEOUT_SHARE));
	let until: number | undefined;

	return {
		start(now) {
			until ??= now + queueMs;
			return until;
		},
		isOver: now => until !== undefined && now >= until,
	};
}
