import type {RateLimit} from './workspace.js';

/** Token bucket of a rate limit. */
export type TokenBucket = {
	/** Takes up to `wanted` tokens at the steady time `now`, leaving at least `leave`; returns the number taken. */
	take(wanted: number, now: number, leave?: number): number;
	/** Takes tokens for operations that were already started; the level becomes negative where there are too few. */
	charge(spent: number, now: number): void;
	/** Returns the number of tokens; negative after a charge that it could not cover. */
	getLevel(now: number): number;
	/** Returns the time until one token is available, in milliseconds; Infinity where none will be. */
	getWaitMs(now: number): number;
	/** Changes the limit; tokens beyond the new capacity are dropped. */
	setLimit(limit: RateLimit, now: number): void;
};

/** Creates a bucket that holds `level` tokens at the steady time `now`. */
export function createTokenBucket(limit: RateLimit, level: number, now: number): TokenBucket {
	let {ratePerSecond} = limit;
	let capacity = getCapacity(limit);
	let tokens = Math.min(level, capacity);
	let refilledAt = now;

	const refill = (at: number) => {
		tokens = Math.min(capacity, tokens + (Math.max(0, at - refilledAt) * ratePerSecond / 1000));
		refilledAt = Math.max(refilledAt, at);
	};

	return {
		take(wanted, at, leave = 0) {
			refill(at);
			const taken = Math.max(0, Math.min(wanted, Math.floor(tokens - leave)));
			tokens -= taken;
			return taken;
		},
		charge(spent, at) {
			refill(at);
			tokens -= spent;
		},
		getLevel(at) {
			refill(at);
			return tokens;
		},
		getWaitMs(at) {
			refill(at);
			if (tokens >= 1) {
				return 0;
			}

			return ratePerSecond === 0 ? Number.POSITIVE_INFINITY : (1 - tokens) * 1000 / ratePerSecond;
		},
		setLimit(changed, at) {
			refill(at);
			({ratePerSecond} = changed);
			capacity = getCapacity(changed);
			tokens = Math.min(tokens, capacity);
		},
	};
}

/** A capacity below one would never allow an operation, even at a slow rate. */
function getCapacity({ratePerSecond, burst}: RateLimit): number {
	return ratePerSecond > 0 ? Math.max(1, burst) : burst;
}
