import type {CallerRequest} from '../callers/caller-request.js';
import type {Configuration, VersionedGroup} from '../configuration/configuration.js';
import {getRequestIdTime} from '../random/request-id.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';

/** Maximum lead of the time in a request id over this host's wall clock: in milliseconds, and as a fraction of the key retention. */
const MAX_AHEAD_MS = 300_000;
const MAX_AHEAD_FRACTION = 0.1;

/** Returns the refusal for a session header that no proxy signed. */
export function refuseBadToken(): Refusal {
	return {
		code: RefusalCode.BadToken,
		reason: 'the session token was not signed by this system; send the request without it to be served from behind a barrier',
		retryAfterMs: 0,
		facts: {},
	};
}

/** Time for which the store may be silent while a group that this host does not know counts as unknown, in milliseconds: an accepted change has to be in force by then. */
const MAX_STORE_SILENCE_MS = 6000;

/** Returns the refusal for a group that is not configured, or that this host cannot know: it has no configuration, or one of which the store may have a later version at the time `now`. */
export function refuseUnknownGroup(group: string, configuration: Pick<Configuration, 'loaded' | 'revision' | 'getStoreSilenceMs'>, now: number): Refusal {
	if (!configuration.loaded) {
		return {
			code: RefusalCode.NoConfiguration,
			reason: 'this host has no configuration yet',
			retryAfterMs: 1000,
			facts: {},
		};
	}

	if (configuration.getStoreSilenceMs(now) > MAX_STORE_SILENCE_MS) {
		return {
			code: RefusalCode.NoConfiguration,
			reason: 'this host cannot tell whether its configuration is the latest',
			retryAfterMs: 1000,
			facts: {configRevision: configuration.revision},
		};
	}

	return {
		code: RefusalCode.UnknownGroup,
		reason: `there is no database group "${group}"`,
		facts: {configRevision: configuration.revision},
	};
}

/**
 * Validates the time in a request id; returns the refusal, or undefined where the id is acceptable.
 * @param runsForMs How long the request may run under the id, in milliseconds.
 */
export function validateRequestId(requestId: string, group: VersionedGroup, runsForMs: number, wallMs: number): Refusal | undefined {
	const {keyRetentionMs} = group.cfg;
	const madeAt = getRequestIdTime(requestId);
	const aheadMs = Math.min(MAX_AHEAD_MS, keyRetentionMs * MAX_AHEAD_FRACTION);
	if (madeAt === undefined || madeAt > wallMs + aheadMs) {
		return {
			code: RefusalCode.Malformed,
			reason: 'requestId must be a UUIDv7 whose time is not ahead of now',
			facts: {madeAt, wallMs},
		};
	}

	// Guards against running a request again after its key was dropped: beyond the retention it is unknown whether it ran.
	// The key may have been inserted before the time in the id, if the caller's wall clock is ahead, and must outlast the
	// request: otherwise the key of a request that waits could be dropped before the wait ends.
	if (wallMs + runsForMs > madeAt + keyRetentionMs - aheadMs) {
		return {
			code: RefusalCode.KeyExpired,
			reason: 'the group may drop the key of this request id before the request ends, so nobody could tell whether it ran',
			facts: {
				madeAt, wallMs, keyRetentionMs, runsForMs, aheadMs,
			},
		};
	}

	return undefined;
}

/** Validates the maximum age that a read accepts; returns the refusal where it is above the group's limit. */
export function validateReadAge(req: CallerRequest, group: VersionedGroup): Refusal | undefined {
	const {readAgeLimitMs} = group.cfg;
	if (req.maxAgeMs === undefined || req.maxAgeMs <= readAgeLimitMs) {
		return undefined;
	}

	return {
		code: RefusalCode.AgeOverLimit,
		reason: `the group accepts reads of at most ${readAgeLimitMs} ms of age, the request states ${req.maxAgeMs} ms`,
		facts: {maxAgeMs: req.maxAgeMs, readAgeLimitMs, configVersion: group.version},
	};
}
