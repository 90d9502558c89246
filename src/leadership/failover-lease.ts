import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import {getGeneration, getNextInGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {FAILOVER_LEASE_NAME, type FailoverLeaseRecord} from './leadership-record.js';

/** The failover lease: the right to replace primaries, which one host at a time holds. */
export type FailoverLease = {
	/** Acquires or renews the lease; resolves to false if another host holds it or the store does not respond. */
	take(): Promise<boolean>;
	/** Returns the fencing token for an order that may take `ms` milliseconds; undefined if the lease may end earlier. */
	getToken(ms: number): number | undefined;
	/** Returns the other host that holds the lease, as far as this one can tell; undefined if there is none. */
	getOtherHolder(): string | undefined;
};

/** What {@link createFailoverLease} needs. */
export type FailoverLeaseOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly hostName: string;
	readonly incarnation: string;
};

/**
 * Duration of the failover lease after each acquisition or renewal, in milliseconds of elapsed time. A replacement takes 1 to 2 s, and after the
 * holder's death the next holder waits this long.
 */
export const FAILOVER_LEASE_MS = 3000;

/** Other hosts wait this much longer than the lease, in milliseconds, since clocks differ in rate. */
const MARGIN_MS = 200;

const STORE_TIMEOUT_MS = 900;

/** Creates the lease. */
export function createFailoverLease({store, mirror, elapsedClock, log: parentLog, hostName, incarnation}: FailoverLeaseOptions): FailoverLease {
	const log = parentLog.withPrefix('duty: ');
	let seenVersion = -1;
	let seenSince = 0;
	let generation = 0;
	/** Elapsed time at which this host first saw the present store generation; undefined while that is 0, the generation of a store that was never restored. */
	let restoreSeenAt: number | undefined;
	let held: {readonly token: number; readonly until: number} | undefined;

	const observe = () => {
		const current = getGeneration(mirror.state.revision);
		if (current !== generation) {
			generation = current;
			restoreSeenAt = elapsedClock.elapsed();
		}

		const version = mirror.state.duty?.version ?? 0;
		if (version !== seenVersion) {
			seenVersion = version;
			seenSince = elapsedClock.elapsed();
		}
	};

	mirror.onChange(observe);

	const isOwnRecord = (record: FailoverLeaseRecord | undefined) => record?.holder === hostName && record.incarnation === incarnation;

	const isHeld = (now: number) => held !== undefined && now < held.until;

	/**
	 * Prevents two holders at once: a store restored from a backup may have lost the record of a holder whose lease is still running, and contain no
	 * record, that of another host or an earlier one of this host. The holder itself may renew.
	 */
	const isRecentlyRestored = (now: number) => restoreSeenAt !== undefined && now - restoreSeenAt < FAILOVER_LEASE_MS + MARGIN_MS;

	/**
	 * Prevents two holders at once: this host replaces the record of another holder only after it has seen the record unchanged
	 * for the whole lease. The holder counts its lease from before the update that this host saw.
	 */
	const isFree = (now: number) => {
		const {duty: record} = mirror.state;
		if (isRecentlyRestored(now)) {
			return isHeld(now) && (isOwnRecord(record) || getGeneration(record?.token ?? 0) < generation);
		}

		return !record || isOwnRecord(record) || now - seenSince >= FAILOVER_LEASE_MS + MARGIN_MS;
	};

	const getNext = (now: number): FailoverLeaseRecord => {
		const {duty: record} = mirror.state;
		const renews = isHeld(now) && (isOwnRecord(record) || isRecentlyRestored(now));
		return {
			holder: hostName,
			incarnation,
			token: renews ? held!.token : getNextInGeneration(generation, record?.token ?? 0),
			renewals: renews ? (record?.renewals ?? 0) + 1 : 0,
		};
	};

	const put = async (now: number) => {
		const acquiredIn = generation;
		const next = getNext(now);
		const version = mirror.state.duty?.version ?? 0;
		try {
			const stored = await store.putRecord(RecordKind.Leadership, {name: FAILOVER_LEASE_NAME, version, value: next}, STORE_TIMEOUT_MS);
			if (getGeneration(stored.version) !== acquiredIn) {
				log.info('the failover lease was not acquired: the store was restored from a backup meanwhile', {fence: next.token});
				return false;
			}

			held = {token: next.token, until: now + FAILOVER_LEASE_MS};
			log.info('the failover lease is held', {fence: next.token, renewals: next.renewals});
			return true;
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
				throw err;
			}

			log.info('the failover lease was not acquired', {fence: next.token, reason: (err as Error).message});
			return false;
		} finally {
			await mirror.confirm();
		}
	};

	return {
		async take() {
			observe();
			const now = elapsedClock.elapsed();
			if (!isFree(now)) {
				return false;
			}

			return put(now);
		},
		getToken(ms) {
			return held && elapsedClock.elapsed() + ms < held.until ? held.token : undefined;
		},
		getOtherHolder() {
			observe();
			const {duty: record} = mirror.state;
			return isFree(elapsedClock.elapsed()) || !record ? undefined : record.holder;
		},
	};
}
