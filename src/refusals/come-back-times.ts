/**
 * Hands out times at which refused callers may come back, one turn apart.
 *
 * Without it all who are refused during a jam are told the same time, come back together and jam it again.
 */
export type ComeBackTimes = {
	/** The next free time, as milliseconds from `now`: not before `leastMs`, and `turnMs` after the one before. */
	take(leastMs: number, turnMs: number, now: number): number;
};

/** Longest time a caller is told to stay away, in milliseconds; by then the jam is to be judged anew. */
const LONGEST_MS = 30_000;

/** Creates an empty list of times. */
export function createComeBackTimes(longestMs = LONGEST_MS): ComeBackTimes {
	let nextAt = Number.NEGATIVE_INFINITY;

	return {
		take(leastMs, turnMs, now) {
			const at = Math.min(Math.max(nextAt, now + leastMs), now + longestMs);
			nextAt = at + turnMs;
			return Math.ceil(at - now);
		},
	};
}
