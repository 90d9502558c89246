import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import {getGeneration, getNextInGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {FAILOVER_LEASE_NAME, type FailoverLeaseRecord} from './leadership-record.js';
import {OrderOutcome} from './promotion-orders.js';

/** The failover lease: the right to replace primaries, which one host at a time holds. */
export type FailoverLease = {
	/** Acquires or renews the lease; resolves to false if another host holds it or the store does not respond. */
	take(): Promise<boolean>;
	/** Returns the fencing token for an order that may take `ms` milliseconds; undefined if the lease may end earlier. */
	getToken(ms: number): number | undefined;
	/** Gives an order that may take `ms` milliseconds under the lease; resolves to undefined without giving it if the lease may end earlier. */
	giveOrder(ms: number, order: (token: number) => Promise<OrderOutcome>): Promise<OrderOutcome | undefined>;
	/** Returns the other host that holds the lease, as far as this one can tell; undefined if there is none. */
	getOtherHolder(): string | undefined;
	/** Whether the last holder was `hostName` and has released the lease. */
	wasReleasedBy(hostName: string): boolean;
	/** Ends the lease ahead of time, so that another host can acquire it at once; resolves to false if it is not held, or an order of this host may still be carried out. */
	release(): Promise<boolean>;
	/** Ends acquisitions, renewals and orders for good, since this process is about to end. The lease may still be released. */
	close(): void;
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

/** Number of attempts to release the lease: a renewal of this host may have changed the record meanwhile, and a response may be lost. */
const RELEASE_ATTEMPTS = 3;

/** Creates the lease. */
export function createFailoverLease({store, mirror, elapsedClock, log: parentLog, hostName, incarnation}: FailoverLeaseOptions): FailoverLease {
	const log = parentLog.withPrefix('duty: ');
	let seenVersion = -1;
	let seenSince = 0;
	let generation = 0;
	/** Elapsed time at which this host first saw the present store generation; undefined while that is 0, the generation of a store that was never restored. */
	let restoreSeenAt: number | undefined;
	let held: {readonly token: number; readonly until: number} | undefined;
	let closed = false;
	/** Number of releases so far, by which a renewal that was sent before a release is recognized. */
	let releases = 0;
	let ordersInFlight = 0;
	/** Elapsed time until which an order that got no response keeps the lease from being released. */
	let unansweredUntil = Number.NEGATIVE_INFINITY;

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

		return !record || record.released === true || isOwnRecord(record) || now - seenSince >= FAILOVER_LEASE_MS + MARGIN_MS;
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
		const releasesBefore = releases;
		const next = getNext(now);
		const version = mirror.state.duty?.version ?? 0;
		try {
			const stored = await store.putRecord(RecordKind.Leadership, {name: FAILOVER_LEASE_NAME, version, value: next}, STORE_TIMEOUT_MS);
			if (getGeneration(stored.version) !== acquiredIn) {
				log.info('the failover lease was not acquired: the store was restored from a backup meanwhile', {fence: next.token});
				return false;
			}

			if (releases !== releasesBefore) {
				// The response may be to a renewal that was followed by the release and by the acquisition of another host.
				log.info('the failover lease was released during its renewal', {fence: next.token});
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

	const getToken = (ms: number) => {
		if (closed) {
			return undefined;
		}

		return held && elapsedClock.elapsed() + ms < held.until ? held.token : undefined;
	};

	/** Whether an order of this host may still be carried out: its successor's order would then come before it. */
	const mayBeOrdered = (now: number) => ordersInFlight > 0 || now < unansweredUntil;

	/** Marks the stored lease as released; resolves to whether that is stored. */
	const putReleased = async (token: number): Promise<boolean> => {
		const {duty: record} = mirror.state;
		if (!record || !isOwnRecord(record) || record.token !== token) {
			await mirror.confirm();
			return false;
		}

		if (record.released) {
			return true;
		}

		const value: FailoverLeaseRecord = {
			holder: hostName, incarnation, token, renewals: record.renewals, released: true,
		};
		try {
			await store.putRecord(RecordKind.Leadership, {name: FAILOVER_LEASE_NAME, version: record.version, value}, STORE_TIMEOUT_MS);
			return true;
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
				throw err;
			}

			log.info('the failover lease was not released', {fence: token, reason: err.message});
			return false;
		} finally {
			await mirror.confirm();
		}
	};

	return {
		async take() {
			observe();
			const now = elapsedClock.elapsed();
			if (closed || !isFree(now)) {
				return false;
			}

			return put(now);
		},
		getToken,
		async giveOrder(ms, order) {
			const token = getToken(ms);
			if (token === undefined) {
				return undefined;
			}

			ordersInFlight++;
			let outcome: OrderOutcome = OrderOutcome.Unknown;
			try {
				outcome = await order(token);
				return outcome;
			} finally {
				ordersInFlight--;
				if (outcome === OrderOutcome.Unknown) {
					unansweredUntil = elapsedClock.elapsed() + FAILOVER_LEASE_MS + MARGIN_MS;
				}
			}
		},
		wasReleasedBy(name) {
			const {duty: record} = mirror.state;
			return record?.released === true && record.holder === name;
		},
		async release() {
			const now = elapsedClock.elapsed();
			if (!isHeld(now) || mayBeOrdered(now)) {
				return false;
			}

			const {token} = held!;
			// Nothing may be ordered under the lease from here on, since the store may execute the release although its response is lost.
			held = undefined;
			releases++;
			for (let attempt = 1; attempt <= RELEASE_ATTEMPTS; attempt++) {
				if (await putReleased(token)) {
					log.info('the failover lease was released', {fence: token});
					return true;
				}
			}

			return false;
		},
		close() {
			closed = true;
		},
		getOtherHolder() {
			observe();
			const {duty: record} = mirror.state;
			return isFree(elapsedClock.elapsed()) || !record ? undefined : record.holder;
		},
	};
}
