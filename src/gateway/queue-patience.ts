import type {Route} from '../routes/routing.js';

/** How long a statement queues for endpoints that are busy. */
export type QueuePatience = {
	/** The statement queues from the steady time `now` on, if it does not yet; the steady time until which it does. */
	start(now: number): number;
	/** It has queued for all of that time. */
	isOver(now: number): boolean;
};

/** A statement queues for so many times the time in which its route wants the whole operation. */
const TARGET_FACTOR = 2;

/** Part of a statement's time that it queues at most: what is left serves another try of its caller, at another host. */
const TIMEOUT_PART = 0.5;

/** A statement of a route that states no such times, or very short ones, queues for so long, in milliseconds. */
const LEAST_MS = 100;

/**
 * Creates the patience of a statement, or of the begin of a transaction, that has not queued yet.
 *
 * For a group whose load passes what its endpoints can run. Queued until its time is up, a statement would be served when nobody wants its answer any more, or refused with no time left to
 * try again; and each later one would find as long a queue. Time in which no primary is known does not count: that ends by itself.
 */
export function createQueuePatience({targetLatencyMs, statementTimeoutMs}: Route): QueuePatience {
	const patienceMs = Math.max(LEAST_MS, Math.min(targetLatencyMs === 0 ? Number.POSITIVE_INFINITY : targetLatencyMs * TARGET_FACTOR, statementTimeoutMs * TIMEOUT_PART));
	let until: number | undefined;

	return {
		start(now) {
			until ??= now + patienceMs;
			return until;
		},
		isOver: now => until !== undefined && now >= until,
	};
}
