import {createRetryAfterSlots, type RetryAfterSlots} from '../refusals/retry-after-slots.js';
import type {TokenGrant, TokenRequest} from './rate-limit-calls.js';
import {createTokenBucket, type TokenBucket} from './token-bucket.js';
import type {RateLimit} from './workspace.js';

/** Issues the rate limit tokens of the workspaces that are assigned to this host. */
export type TokenIssuer = {
	/** Grants tokens as far as the workspace's limit allows at the steady time `now`. */
	grant(req: TokenRequest, now: number): TokenGrant;
};

/** Options of {@link createTokenIssuer}. */
export type TokenIssuerOptions = {
	/** Returns the limit in force; undefined where this host's configuration has none for the workspace. */
	getLimit(workspace: string): RateLimit | undefined;
};

/** Fraction of a burst that is reserved for waiting operations; tokens are granted in advance only from what is above it. */
const RESERVED_FRACTION = 7 / 8;

/** Fraction of a burst that must be left for the use to count as far below the limit. */
const FAR_FRACTION = 1 / 2;

/**
 * Initial level of a bucket: what the rate fills in a part of a second, and some operations. Guards the limit when the previous issuer has died or was restarted: a full
 * burst would be granted twice within one window.
 */
const INITIAL_SECONDS = 0.25;
const INITIAL_OPERATIONS = 4;

/** Time without requests after which a bucket is dropped, in milliseconds: by then it is full, or a new one serves as well. */
const IDLE_BUCKET_MS = 60_000;

type WorkspaceBucket = {
	readonly bucket: TokenBucket;
	readonly retryDelays: RetryAfterSlots;
	limit: RateLimit;
	requestedAt: number;
};

/** Creates an issuer that has granted nothing. */
export function createTokenIssuer({getLimit}: TokenIssuerOptions): TokenIssuer {
	const buckets = new Map<string, WorkspaceBucket>();
	let droppedAt = Number.NEGATIVE_INFINITY;

	const dropIdleBuckets = (now: number) => {
		if (now - droppedAt < IDLE_BUCKET_MS) {
			return;
		}

		droppedAt = now;
		for (const [workspace, {requestedAt}] of buckets) {
			if (now - requestedAt > IDLE_BUCKET_MS) {
				buckets.delete(workspace);
			}
		}
	};

	const getWorkspaceBucket = (workspace: string, limit: RateLimit, now: number): WorkspaceBucket => {
		const entry = buckets.get(workspace) ?? {
			bucket: createTokenBucket(limit, (limit.ratePerSecond * INITIAL_SECONDS) + INITIAL_OPERATIONS, now),
			retryDelays: createRetryAfterSlots(),
			limit,
			requestedAt: now,
		};
		buckets.set(workspace, entry);
		if (entry.limit.ratePerSecond !== limit.ratePerSecond || entry.limit.burst !== limit.burst) {
			entry.bucket.setLimit(limit, now);
			entry.limit = limit;
		}

		entry.requestedAt = now;
		return entry;
	};

	return {
		grant({workspace, limit: requestLimit, needed, spent, ahead}, now) {
			dropIdleBuckets(now);
			const limit = getLimit(workspace) ?? requestLimit;
			const {bucket, retryDelays} = getWorkspaceBucket(workspace, limit, now);
			bucket.charge(spent, now);
			const tokens = bucket.take(needed, now);
			if (tokens < needed) {
				return {tokens, retryAfterMs: retryDelays.take(bucket.getWaitMs(now), 1000 / limit.ratePerSecond, now)};
			}

			return {tokens: tokens + bucket.take(ahead, now, limit.burst * RESERVED_FRACTION), isFar: bucket.getLevel(now) >= limit.burst * FAR_FRACTION};
		},
	};
}
