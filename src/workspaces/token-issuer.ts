import {createComeBackTimes, type ComeBackTimes} from '../refusals/come-back-times.js';
import type {TokenGrant, TokenRequest} from './rate-limit-calls.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';
import type {RateLimit} from './workspace.js';

/** Issues the tokens of the workspaces whose operations this host counts. */
export type TokenIssuer = {
	/** Grants what the workspace's limit has left at the steady time `now`. */
	grant(req: TokenRequest, now: number): TokenGrant;
};

/** What the issuer needs. */
export type TokenIssuerOptions = {
	/** The limit in force; undefined where this host's configuration has no such workspace. */
	getLimit(workspace: string): RateLimit | undefined;
};

/** Part of a burst that stays for operations that wait; tokens ahead of their operations come from what is above. */
const KEPT_FOR_WAITING = 7 / 8;

/** Part of a burst that is left where the limit is far. */
const FAR_LEVEL = 1 / 2;

/**
 * What a bucket holds when its workspace is met here for the first time: a part of a second, and some operations. Guards the limit when another host has counted so far
 * and died, or was restarted: a full burst would be granted twice within one window.
 */
const FIRST_SECONDS = 0.25;
const FIRST_OPERATIONS = 4;

/** A bucket that nobody has asked for so long is full again, or as good as new, in milliseconds. */
const FORGET_AFTER_MS = 60_000;

type Counted = {
	readonly bucket: TokenBucket;
	readonly comeBackTimes: ComeBackTimes;
	limit: RateLimit;
	askedAt: number;
};

/** Creates an issuer that has granted nothing. */
export function createTokenIssuer({getLimit}: TokenIssuerOptions): TokenIssuer {
	const known = new Map<string, Counted>();
	let cleanedAt = Number.NEGATIVE_INFINITY;

	const forgetUnused = (now: number) => {
		if (now - cleanedAt < FORGET_AFTER_MS) {
			return;
		}

		cleanedAt = now;
		for (const [workspace, {askedAt}] of known) {
			if (now - askedAt > FORGET_AFTER_MS) {
				known.delete(workspace);
			}
		}
	};

	const getCounted = (workspace: string, limit: RateLimit, now: number): Counted => {
		const counted = known.get(workspace) ?? {
			bucket: createTokenBucket(limit, (limit.ratePerSecond * FIRST_SECONDS) + FIRST_OPERATIONS, now),
			comeBackTimes: createComeBackTimes(),
			limit,
			askedAt: now,
		};
		known.set(workspace, counted);
		if (counted.limit.ratePerSecond !== limit.ratePerSecond || counted.limit.burst !== limit.burst) {
			counted.bucket.setLimit(limit, now);
			counted.limit = limit;
		}

		counted.askedAt = now;
		return counted;
	};

	return {
		grant({workspace, limit: named, needed, spent, ahead}, now) {
			forgetUnused(now);
			const limit = getLimit(workspace) ?? named;
			const {bucket, comeBackTimes} = getCounted(workspace, limit, now);
			bucket.charge(spent, now);
			const tokens = bucket.take(needed, now);
			if (tokens < needed) {
				return {tokens, retryAfterMs: comeBackTimes.take(bucket.getWaitMs(now), 1000 / limit.ratePerSecond, now)};
			}

			return {tokens: tokens + bucket.take(ahead, now, limit.burst * KEPT_FOR_WAITING), isFar: bucket.getLevel(now) >= limit.burst * FAR_LEVEL};
		},
	};
}
