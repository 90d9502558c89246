import {createRetryAfterSlots, type RetryAfterSlots} from '../refusals/retry-after-slots.js';
import type {Clock} from '../time/clock.js';
import type {TokenGrant} from './rate-limit-calls.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';
import type {TokenSource} from './token-source.js';
import type {RateLimit, Workspace} from './workspace.js';

/** Whether an operation may run now; if not, the retry delay in milliseconds. */
export type RateLimitDecision = {readonly allowed: true} | {readonly allowed: false; readonly retryAfterMs: number};

/** Enforces the workspaces' rate limits over the whole fleet. */
export type RateLimiter = {
	/** Takes a token for one operation of the workspace. */
	take(workspace: Workspace): Promise<RateLimitDecision>;
};

/** Options of {@link createRateLimiter}. */
export type RateLimiterOptions = {
	readonly source: TokenSource;
	readonly clock: Clock;
	/** Returns the number of registered hosts. */
	countHosts(): number;
};

/** Fraction of the limit that all hosts together may use without an issuer; it adds to what the issuer grants to the hosts that reach it. */
const FALLBACK_FRACTION = 0.25;

/** Time for which tokens granted in advance are valid, in milliseconds. */
const PREFETCH_VALID_MS = 1000;

/** Maximum number of tokens that one host requests in advance. */
const MAX_PREFETCHED_TOKENS = 16;

/** Maximum time for which this host refuses operations without a request to the issuer after a refusal, in milliseconds; tokens that become free meanwhile stay in the bucket. */
const MAX_REFUSING_MS = 100;

/** Time after a grant that was made far below the limit in which an operation may run while its token is requested, in milliseconds. */
const OPTIMISTIC_MS = 2000;

type LocalState = {
	/** Tokens left of those granted in advance. */
	prefetched: number;
	prefetchedUntil: number;
	/** Until this time an operation may run while its token is requested. */
	optimisticUntil: number;
	refusingUntil: number;
	/** Operations since the last request. */
	recentOperations: number;
	requestedAt: number;
	/** Operations that were started and whose tokens are still to be requested. */
	spent: number;
	waiting: Array<(decision: RateLimitDecision) => void>;
	isRequesting: boolean;
	readonly retryDelays: RetryAfterSlots;
	/** This host's part of the limit while no issuer responds. */
	fallbackBucket?: TokenBucket;
};

/**
 * Creates the limiter. An issuer grants a token for each operation. While the use is far below the limit, an operation does not wait for its token: one at a time for each workspace
 * and host, so that the operations beyond the limit are at most those in flight when it is reached.
 */
export function createRateLimiter({source, clock, countHosts}: RateLimiterOptions): RateLimiter {
	const states = new Map<string, LocalState>();

	const getState = (workspace: string): LocalState => {
		const state = states.get(workspace) ?? {
			prefetched: 0,
			prefetchedUntil: 0,
			optimisticUntil: 0,
			refusingUntil: 0,
			recentOperations: 0,
			requestedAt: clock.now(),
			spent: 0,
			waiting: [],
			isRequesting: false,
			retryDelays: createRetryAfterSlots(),
		};
		states.set(workspace, state);
		return state;
	};

	/**
	 * Grants tokens from this host's part of the fraction of the limit that hosts may use without an issuer. Guards the limit where no issuer is reached: otherwise each such
	 * host would admit all operations of its callers.
	 */
	const grantFallback = (state: LocalState, {ratePerSecond, burst}: RateLimit, needed: number): TokenGrant => {
		const now = clock.now();
		const fraction = FALLBACK_FRACTION / Math.max(1, countHosts());
		const fallbackLimit = {ratePerSecond: ratePerSecond * fraction, burst: burst * fraction};
		state.fallbackBucket ??= createTokenBucket(fallbackLimit, fallbackLimit.burst, now);
		state.fallbackBucket.setLimit(fallbackLimit, now);
		const tokens = state.fallbackBucket.take(needed, now);
		return tokens < needed ? {tokens, retryAfterMs: Math.min(MAX_REFUSING_MS, state.fallbackBucket.getWaitMs(now))} : {tokens};
	};

	const requestTokens = async (state: LocalState, workspace: string, limit: RateLimit, needed: number): Promise<TokenGrant> => {
		const now = clock.now();
		const expected = state.recentOperations * PREFETCH_VALID_MS / Math.max(PREFETCH_VALID_MS, now - state.requestedAt);
		const {spent} = state;
		state.recentOperations = 0;
		state.requestedAt = now;
		state.spent = 0;
		const grant = await source.request({
			workspace, limit, needed, spent, ahead: Math.min(MAX_PREFETCHED_TOKENS, Math.floor(expected)),
		});
		return grant ?? grantFallback(state, limit, needed);
	};

	const refuse = (state: LocalState, minMs: number, {ratePerSecond}: RateLimit): RateLimitDecision => ({
		allowed: false, retryAfterMs: state.retryDelays.take(minMs, ratePerSecond > 0 ? 1000 / ratePerSecond : 0, clock.now()),
	});

	const applyGrant = (state: LocalState, limit: RateLimit, waiters: LocalState['waiting'], {tokens, retryAfterMs, isFar}: TokenGrant) => {
		for (const resolve of waiters.slice(0, tokens)) {
			resolve({allowed: true});
		}

		for (const resolve of waiters.slice(tokens)) {
			resolve(refuse(state, retryAfterMs ?? MAX_REFUSING_MS, limit));
		}

		const now = clock.now();
		state.prefetched = Math.max(0, tokens - waiters.length);
		state.prefetchedUntil = now + PREFETCH_VALID_MS;
		state.optimisticUntil = isFar ? now + OPTIMISTIC_MS : now;
		if (retryAfterMs !== undefined) {
			state.refusingUntil = now + Math.min(MAX_REFUSING_MS, retryAfterMs);
		}
	};

	/** Requests tokens for waiting and started operations, one request at a time, until there are none. */
	const requestWhileNeeded = async (state: LocalState, workspace: string, limit: RateLimit) => {
		state.isRequesting = true;
		while (state.waiting.length > 0 || state.spent > 0) {
			const waiters = state.waiting;
			state.waiting = [];
			applyGrant(state, limit, waiters, await requestTokens(state, workspace, limit, waiters.length));
		}

		state.isRequesting = false;
	};

	return {
		async take({name, limit}) {
			if (!limit) {
				return {allowed: true};
			}

			const state = getState(name);
			const now = clock.now();
			state.recentOperations++;
			if (now < state.refusingUntil) {
				return refuse(state, state.refusingUntil - now, limit);
			}

			if (state.prefetched > 0 && now < state.prefetchedUntil) {
				state.prefetched--;
				return {allowed: true};
			}

			if (now < state.optimisticUntil && !state.isRequesting) {
				state.spent++;
				void requestWhileNeeded(state, name, limit);
				return {allowed: true};
			}

			return new Promise(resolve => {
				state.waiting.push(resolve);
				if (!state.isRequesting) {
					void requestWhileNeeded(state, name, limit);
				}
			});
		},
	};
}
