import {hasRecordsToRewrite, type Versioned} from '../mirror/mirror-state.js';
import {MAX_WITHOUT_STORE_MS} from '../mirror/peer-confirmation.js';
import {getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {PRIMARY_LEASE_MS} from './primary-leases.js';
import type {HostRecord} from './leadership-record.js';

/** Tracks store restores, and which hosts may be missing from the list of hosts since then. */
export type StoreRestores = {
	/** Returns the hosts that were listed before a restore and have not registered again, at the elapsed time `now`. */
	getLostHosts(now: number): ReadonlyArray<Versioned<HostRecord>>;
	/** Whether a host that this one never knew may hold a lease, at the elapsed time `now`. */
	mayLackHosts(now: number): boolean;
};

/** What {@link createStoreRestores} needs. */
export type StoreRestoresOptions = {
	readonly mirror: StoreMirror;
	readonly elapsedClock: ElapsedClock;
};

/** Time after a restore by which a host whose registration was lost holds no lease any more, in milliseconds: the longest time that a host may continue without the store, and a lease. */
const LOST_HOST_LEASE_MS = MAX_WITHOUT_STORE_MS + PRIMARY_LEASE_MS;

/** The same for a host that registered shortly before the store was lost, in milliseconds: endpoints do not renew its lease. */
const NEW_HOST_LEASE_MS = PRIMARY_LEASE_MS + 150;

/**
 * Creates the tracking for a host that has not read the store yet.
 *
 * A host whose copy the store confirmed shortly before the restore knows all hosts that had registered by then. Hosts that registered later were new when
 * the store was lost. A host that was without the store for longer, or starts after the restore, cannot tell which hosts are missing.
 */
export function createStoreRestores({mirror, elapsedClock}: StoreRestoresOptions): StoreRestores {
	let generation: number | undefined;
	let listed: ReadonlyArray<Versioned<HostRecord>> = [];
	let confirmedAt: number | undefined;
	let lost: ReadonlyArray<{readonly host: Versioned<HostRecord>; readonly until: number}> = [];
	let mayLackUntil = Number.NEGATIVE_INFINITY;

	const noteRestore = (now: number) => {
		const isCurrent = confirmedAt !== undefined && now - confirmedAt < MAX_WITHOUT_STORE_MS;
		mayLackUntil = Math.max(mayLackUntil, now + (isCurrent ? NEW_HOST_LEASE_MS : LOST_HOST_LEASE_MS));
		lost = [...lost, ...listed.map(host => ({host, until: now + LOST_HOST_LEASE_MS}))];
	};

	mirror.onChange(() => {
		const now = elapsedClock.elapsed();
		const current = getGeneration(mirror.state.revision);
		// A process that starts after a restore finds records of an earlier generation.
		if (generation === undefined ? hasRecordsToRewrite(mirror.state) : current !== generation) {
			noteRestore(now);
		}

		generation = current;
		listed = mirror.state.hosts;
		confirmedAt = mirror.storeConfirmedAt;
	});

	return {
		getLostHosts(now) {
			const addresses = new Set(mirror.state.hosts.map(({peerAddress}) => peerAddress));
			const missing = lost.filter(({host, until}) => now < until && !addresses.has(host.peerAddress));
			return [...new Map(missing.map(({host}) => [host.peerAddress, host])).values()];
		},
		mayLackHosts: now => now < mayLackUntil,
	};
}
