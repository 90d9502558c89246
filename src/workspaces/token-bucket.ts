import type {RateLimit} from './workspace.js';

/** Counts what a rate limit has left. */
export type TokenBucket = {
	/** Takes up to `wanted` tokens at the steady time `now`, and leaves at least `leave`; how many were taken. */
	take(wanted: number, now: number, leave?: number): number;
	/** Takes tokens for what runs already; what it lacks of them it owes. */
	charge(spent: number, now: number): void;
	/** Tokens that it holds; negative where it owes some. */
	getLevel(now: number): number;
	/** Time until one token is there, in milliseconds; Infinity where none will be. */
	getWaitMs(now: number): number;
	/** Takes over another limit. */
	setLimit(limit: RateLimit, now: number): void;
};

/** Creates a bucket that holds `level` tokens at the steady time `now`. */
export function createTokenBucket(limit: RateLimit, level: number, now: number): TokenBucket {
	let {ratePerSecond} = limit;
	let capacity = getCapacity(limit);
	let held = Math.min(level, capacity);
	let countedAt = now;

	const refill = (at: number) => {
		held = Math.min(capacity, held + (Math.max(0, at - countedAt) * ratePerSecond / 1000));
		countedAt = Math.max(countedAt, at);
	};

	return {
		take(wanted, at, leave = 0) {
			refill(at);
			const taken = Math.max(0, Math.min(wanted, Math.floor(held - leave)));
			held -= taken;
			return taken;
		},
		charge(spent, at) {
			refill(at);
			held -= spent;
		},
		getLevel(at) {
			refill(at);
			return held;
		},
		getWaitMs(at) {
			refill(at);
			if (held >= 1) {
				return 0;
			}

			return ratePerSecond === 0 ? Number.POSITIVE_INFINITY : (1 - held) * 1000 / ratePerSecond;
		},
		setLimit(changed, at) {
			refill(at);
			({ratePerSecond} = changed);
			capacity = getCapacity(changed);
			held = Math.min(held, capacity);
		},
	};
}

/** A burst below one would let nothing pass, however slow the rate. */
function getCapacity({ratePerSecond, burst}: RateLimit): number {
	return ratePerSecond > 0 ? Math.max(1, burst) : burst;
}
