/**
 * Assigns refused callers the times at which they may try again, spaced apart.
 *
 * Without it all callers refused during an overload would get the same time, try again together and cause the next overload.
 */
export type RetryAfterSlots = {
	/**
	 * Takes the next free time and returns it in milliseconds from `now`: at least `minMs`, and `spacingMs` after the one taken before, up to the
	 * maximum.
	 */
	take(minMs: number, spacingMs: number, now: number): number;
};

/** Maximum retry-after, in milliseconds; after it the caller tries again, and the overload is evaluated anew. */
const MAX_RETRY_AFTER_MS = 30_000;

/** Creates the times with none taken yet; `maxMs` is the maximum, in milliseconds. */
export function createRetryAfterSlots(maxMs = MAX_RETRY_AFTER_MS): RetryAfterSlots {
	let nextAt = Number.NEGATIVE_INFINITY;

	return {
		take(minMs, spacingMs, now) {
			const at = Math.min(Math.max(nextAt, now + minMs), now + maxMs);
			nextAt = at + spacingMs;
			return Math.ceil(at - now);
		},
	};
}
