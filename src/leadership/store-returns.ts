import {holdsRecordsOfBefore, type Versioned} from '../mirror/mirror-state.js';
import {LONGEST_WITHOUT_STORE_MS} from '../mirror/peer-help.js';
import {getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {EVIDENCE_MS} from './lead-evidence.js';
import type {HostRecord} from './leadership-record.js';

/** Knows whether the store has come back from a copy lately, and which hosts its list may lack since. */
export type StoreReturns = {
	/** Hosts that were listed before a return and have not registered again, at the elapsed time `now`. */
	getLostHosts(now: number): ReadonlyArray<Versioned<HostRecord>>;
	/** Whether a host that this one never knew may hold evidence, at the elapsed time `now`. */
	mayLackHosts(now: number): boolean;
};

/** What this needs. */
export type StoreReturnsOptions = {
	readonly mirror: StoreMirror;
	readonly elapsedClock: ElapsedClock;
};

/** A host whose registration was lost has no evidence any more so long after the return, in milliseconds: it went on without the store for as long as a host may. */
const LOST_HOST_MS = LONGEST_WITHOUT_STORE_MS + EVIDENCE_MS;

/** The same for a host that registered shortly before the store was lost, in milliseconds: endpoints do not lengthen its evidence. */
const NEW_HOST_MS = EVIDENCE_MS + 150;

/**
 * Creates the knowledge of a host that has not read the store yet.
 *
 * A host that was confirmed by the store shortly before the return knows all that had registered by then. Those that registered later were new when the store
 * was lost. A host that was without the store for longer, or starts after the return, cannot tell.
 */
export function createStoreReturns({mirror, elapsedClock}: StoreReturnsOptions): StoreReturns {
	let generation: number | undefined;
	let listed: ReadonlyArray<Versioned<HostRecord>> = [];
	let confirmedAt: number | undefined;
	let lost: ReadonlyArray<{readonly host: Versioned<HostRecord>; readonly until: number}> = [];
	let mayLackUntil = Number.NEGATIVE_INFINITY;

	const noteReturn = (now: number) => {
		const isCurrent = confirmedAt !== undefined && now - confirmedAt < LONGEST_WITHOUT_STORE_MS;
		mayLackUntil = Math.max(mayLackUntil, now + (isCurrent ? NEW_HOST_MS : LOST_HOST_MS));
		lost = [...lost, ...listed.map(host => ({host, until: now + LOST_HOST_MS}))];
	};

	mirror.onChange(() => {
		const now = elapsedClock.elapsed();
		const current = getGeneration(mirror.state.revision);
		// A process that starts after a return finds records of before.
		if (generation === undefined ? holdsRecordsOfBefore(mirror.state) : current !== generation) {
			noteReturn(now);
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
