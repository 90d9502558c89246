import type {CallerRequest} from '../callers/caller-request.js';
import type {Configuration, VersionedGroup} from '../configuration/configuration.js';
import {getRequestIdTime} from '../random/request-id.js';
import {RefusalCode, type Refusal} from '../refusals/refusal.js';

/** How far ahead of this host's calendar the time in a request id may be, in milliseconds. */
const LONGEST_AHEAD_MS = 300_000;

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

/** Judges a request id that the caller made, by the time in it. */
export function judgeRequestId(requestId: string, group: VersionedGroup, wallMs: number): Refusal | undefined {
	const madeAt = getRequestIdTime(requestId);
	if (madeAt === undefined || madeAt > wallMs + LONGEST_AHEAD_MS) {
		return {
			code: RefusalCode.Malformed,
			reason: 'requestId must be a UUIDv7 whose time is not ahead of now',
			facts: {madeAt, wallMs},
		};
	}

	// Guards against running a request again whose key was dropped: past the retention nobody can tell whether it ran.
	if (madeAt < wallMs - group.cfg.keyRetentionMs) {
		return {
			code: RefusalCode.KeyExpired,
			reason: 'the request id is older than the group keeps request keys, so nobody can tell whether it ran',
			facts: {madeAt, wallMs, keyRetentionMs: group.cfg.keyRetentionMs},
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
