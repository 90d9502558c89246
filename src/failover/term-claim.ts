import * as z from 'zod';
import {ObjectKind, type Platform, type PlatformObject} from '../object-store/platform.js';
import {PlatformConflictError} from '../object-store/platform-errors.js';
import type {Log} from '../log/log.js';
import {throwContested} from './failover-errors.js';

/** Schema of a claim as stored in the platform's store. */
const claimSchema = z.object({
	/** The term claimed. */
	term: z.int().min(0),
	/** Name of the host that claimed it. */
	host: z.string(),
});

/** Result of reading the group's claim; not available where the store could not be read. */
export type ClaimReading =
	| {readonly available: true; readonly object: PlatformObject | undefined}
	| {readonly available: false};

/**
 * Claims terms of one group in the platform's store, so that two promoters of one group seldom compete.
 *
 * A claim is advisory and no lock: the fences decide. It is therefore bounded in time, and where the store is down, slow
 * or loses its answer the promoter goes on without the claim.
 */
export type TermClaim = {
	/** Reads the current claim; never rejects. */
	read(timeoutMs: number): Promise<ClaimReading>;
	/** Claims a term of at least `atLeast` and returns the term to use; rejects with FailoverError where another host has just claimed one. */
	claim(reading: ClaimReading, atLeast: number, timeoutMs: number): Promise<number>;
};

/** Options of {@link createTermClaim}. */
export type TermClaimOptions = {
	readonly platform: Platform;
	readonly log: Log;
	readonly group: string;
	/** Name of this host. */
	readonly host: string;
};

/** Creates the claims of one group by this host. */
export function createTermClaim(options: TermClaimOptions): TermClaim {
	const {platform, log, group, host} = options;
	/** Version of another host's claim to which this host has deferred once already. */
	let deferredVersion = 0;

	const deferOnce = (object: PlatformObject, term: number, claimant: string) => {
		if (object.version === deferredVersion) {
			return;
		}

		deferredVersion = object.version;
		throwContested(term, claimant);
	};

	const put = async (term: number, expectedVersion: number, timeoutMs: number) => {
		try {
			await platform.put({
				kind: ObjectKind.Claim, name: group, value: {term, host}, expectedVersion,
			}, timeoutMs);
		} catch (err) {
			if (err instanceof PlatformConflictError) {
				throwContested(term, 'another host');
			}

			// The answer may have been lost after the claim was stored; that claim is this host's own and does not delay its next attempt.
			log.warn('went on without a claim: the platform gave no answer', {term});
		}
	};

	return {
		async read(timeoutMs) {
			try {
				return {available: true, object: await platform.get(ObjectKind.Claim, group, timeoutMs)};
			} catch {
				return {available: false};
			}
		},
		async claim(reading, atLeast, timeoutMs) {
			if (!reading.available || timeoutMs <= 0) {
				log.warn('went on without a claim: the platform was not reached in time', {term: atLeast});
				return atLeast;
			}

			const {object} = reading;
			const current = claimSchema.safeParse(object?.value).data;
			if (object && current && current.term >= atLeast && current.host !== host) {
				deferOnce(object, current.term, current.host);
			}

			const term = Math.max(atLeast, (current?.term ?? 0) + 1);
			await put(term, object?.version ?? 0, timeoutMs);
			return term;
		},
	};
}
