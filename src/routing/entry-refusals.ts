import type {CallerRequest} from '../callers/caller-request.js';
import type {Configuration, VersionedGroup} from '../configuration/configuration.js';
import {getRequestIdTime} from '../random/request-id.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';

/** How far ahead of this host's calendar the time in a request id may be: in milliseconds, and as a part of the retention. */
const LONGEST_AHEAD_MS = 300_000;
const AHEAD_SHARE = 0.1;

/** The refusal for a session header that no proxy signed. */
export function refuseBadToken(): Refusal {
	return {
		code: RefusalCode.BadToken,
		reason: 'the session token was not signed by this system; send the request without it to be served from behind a barrier',
		retryAfterMs: 0,
		facts: {},
	};
}

/** The refusal for a group that is not configured, or while no configuration is known. */
export function refuseUnknownGroup(group: string, configuration: Configuration): Refusal {
	if (!configuration.loaded) {
		return {
			code: RefusalCode.NoConfiguration,
			reason: 'this host has no configuration yet',
			retryAfterMs: 1000,
			facts: {},
		};
	}

	return {
		code: RefusalCode.UnknownGroup,
		reason: `there is no database group "${group}"`,
		facts: {configRevision: configuration.revision},
	};
}

/**
 * Judges a request id that the caller made, by the time in it.
 * @param runsForMs How long the request may go on under the id, in milliseconds.
 */
export function judgeRequestId(requestId: string, group: VersionedGroup, runsForMs: number, wallMs: number): Refusal | undefined {
	const {keyRetentionMs} = group.cfg;
	const madeAt = getRequestIdTime(requestId);
	const aheadMs = Math.min(LONGEST_AHEAD_MS, keyRetentionMs * AHEAD_SHARE);
	if (madeAt === undefined || madeAt > wallMs + aheadMs) {
		return {
			code: RefusalCode.Malformed,
			reason: 'requestId must be a UUIDv7 whose time is not ahead of now',
			facts: {madeAt, wallMs},
		};
	}

	// Guards against running a request again whose key was dropped: past the retention nobody can tell whether it ran.
	// The key may have been inserted before the time in the id, where the caller's calendar is ahead, and must outlast the
	// request: one that waits would find the key gone at the end of its wait.
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

/** Judges the age that a read states. */
export function judgeAge(req: CallerRequest, group: VersionedGroup): Refusal | undefined {
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
