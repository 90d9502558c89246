import {createComeBackTimes, type ComeBackTimes} from '../refusals/come-back-times.js';
import type {Clock} from '../time/clock.js';
import type {TokenGrant} from './rate-limit-calls.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';
import type {TokenSource} from './token-source.js';
import type {RateLimit, Workspace} from './workspace.js';

/** Whether an operation may run now. */
export type RateVerdict = {readonly allowed: true} | {readonly allowed: false; readonly retryAfterMs: number};

/** Holds the workspaces' operations to their limits over the whole fleet. */
export type RateLimiter = {
	/** Takes a token for one operation of the workspace. */
	take(workspace: Workspace): Promise<RateVerdict>;
};

/** What the limiter needs. */
export type RateLimiterOptions = {
	readonly source: TokenSource;
	readonly clock: Clock;
	/** Registered hosts. */
	countHosts(): number;
};

/** Part of the limit that all hosts together may use where each is alone: it adds to what the host that counts grants to those that reach it. */
const ALONE_PART = 0.25;

/** Tokens that were granted ahead are good for so long, in milliseconds. */
const AHEAD_MS = 1000;

/** Most tokens ahead of their operations at one host. */
const MOST_AHEAD = 16;

/** After a refusal this host asks again after so long at most, in milliseconds; what is left over meanwhile stays in the bucket. */
const REFUSED_MS = 100;

/** For so long after the limit was far, in milliseconds, an operation runs while its token is asked for. */
const FAR_MS = 2000;

type LocalState = {
	/** Tokens that were granted ahead. */
	ahead: number;
	aheadUntil: number;
	/** The limit was far lately. */
	farUntil: number;
	refusedUntil: number;
	/** Operations since the last question. */
	recent: number;
	askedAt: number;
	/** Operations that run already and whose token is yet to be asked for. */
	spent: number;
	waiting: Array<(verdict: RateVerdict) => void>;
	asking: boolean;
	readonly comeBackTimes: ComeBackTimes;
	/** This host's part of the limit, for when no host that counts answers. */
	ownPart?: TokenBucket;
};

/**
 * Creates the limiter. A host that counts issues a token for each operation. Where the limit is far, an operation does not wait for its token: one at a time for each workspace and host,
 * so that what runs beyond the limit is bounded by what is under way when it is reached.
 */
export function createRateLimiter({source, clock, countHosts}: RateLimiterOptions): RateLimiter {
	const locals = new Map<string, LocalState>();

	const getLocal = (workspace: string): LocalState => {
		const local = locals.get(workspace) ?? {
			ahead: 0, aheadUntil: 0, farUntil: 0, refusedUntil: 0, recent: 0, askedAt: clock.now(), spent: 0, waiting: [], asking: false, comeBackTimes: createComeBackTimes(),
		};
		locals.set(workspace, local);
		return local;
	};

	/**
	 * Grants by this host alone, a part of the limit that all hosts together may use. Guards the limit where the hosts that count are not reached: each other host would
	 * else let all of its callers pass.
	 */
	const grantOwnPart = (local: LocalState, {ratePerSecond, burst}: RateLimit, needed: number): TokenGrant => {
		const now = clock.now();
		const share = ALONE_PART / Math.max(1, countHosts());
		const part = {ratePerSecond: ratePerSecond * share, burst: burst * share};
		local.ownPart ??= createTokenBucket(part, part.burst, now);
		local.ownPart.setLimit(part, now);
		const tokens = local.ownPart.take(needed, now);
		return tokens < needed ? {tokens, retryAfterMs: Math.min(REFUSED_MS, local.ownPart.getWaitMs(now))} : {tokens};
	};

	const ask = async (local: LocalState, workspace: string, limit: RateLimit, needed: number): Promise<TokenGrant> => {
		const now = clock.now();
		const expected = local.recent * AHEAD_MS / Math.max(AHEAD_MS, now - local.askedAt);
		const {spent} = local;
		local.recent = 0;
		local.askedAt = now;
		local.spent = 0;
		const grant = await source.request({
			workspace, limit, needed, spent, ahead: Math.min(MOST_AHEAD, Math.floor(expected)),
		});
		return grant ?? grantOwnPart(local, limit, needed);
	};

	const refuse = (local: LocalState, leastMs: number, {ratePerSecond}: RateLimit): RateVerdict => ({
		allowed: false, retryAfterMs: local.comeBackTimes.take(leastMs, ratePerSecond > 0 ? 1000 / ratePerSecond : 0, clock.now()),
	});

	const settle = (local: LocalState, limit: RateLimit, served: LocalState['waiting'], {tokens, retryAfterMs, isFar}: TokenGrant) => {
		for (const resolve of served.slice(0, tokens)) {
			resolve({allowed: true});
		}

		for (const resolve of served.slice(tokens)) {
			resolve(refuse(local, retryAfterMs ?? REFUSED_MS, limit));
		}

		const now = clock.now();
		local.ahead = Math.max(0, tokens - served.length);
		local.aheadUntil = now + AHEAD_MS;
		local.farUntil = isFar ? now + FAR_MS : now;
		if (retryAfterMs !== undefined) {
			local.refusedUntil = now + Math.min(REFUSED_MS, retryAfterMs);
		}
	};

	/** Serves all who wait, and asks for what was spent, with one question after the other. */
	const askWhileNeeded = async (local: LocalState, workspace: string, limit: RateLimit) => {
		local.asking = true;
		while (local.waiting.length > 0 || local.spent > 0) {
			const served = local.waiting;
			local.waiting = [];
			settle(local, limit, served, await ask(local, workspace, limit, served.length));
		}

		local.asking = false;
	};

	return {
		async take({name, limit}) {
			if (!limit) {
				return {allowed: true};
			}

			const local = getLocal(name);
			const now = clock.now();
			local.recent++;
			if (now < local.refusedUntil) {
				return refuse(local, local.refusedUntil - now, limit);
			}

			if (local.ahead > 0 && now < local.aheadUntil) {
				local.ahead--;
				return {allowed: true};
			}

			if (now < local.farUntil && !local.asking) {
				local.spent++;
				void askWhileNeeded(local, name, limit);
				return {allowed: true};
			}

			return new Promise(resolve => {
				local.waiting.push(resolve);
				if (!local.asking) {
					void askWhileNeeded(local, name, limit);
				}
			});
		},
	};
}
