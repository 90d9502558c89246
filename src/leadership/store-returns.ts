import {LONGEST_WITHOUT_STORE_MS} from '../mirror/peer-help.js';
import {holdsRecordsOfBefore} from '../mirror/mirror-state.js';
import {getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {EVIDENCE_MS} from './lead-evidence.js';

/** Knows whether the store has come back from a copy lately, so that the list of hosts may lack some. */
export type StoreReturns = {
	/** Whether a host that is not in the list may hold evidence, at the elapsed time `now`. */
	mayLackHosts(now: number): boolean;
};

/** What this needs. */
export type StoreReturnsOptions = {
	readonly mirror: StoreMirror;
	readonly elapsedClock: ElapsedClock;
};

/** A host whose registration was lost has no evidence any more so long after the return, in milliseconds: it went on without the store for as long as a host may. */
const LOST_HOST_MS = LONGEST_WITHOUT_STORE_MS + EVIDENCE_MS;

/** Creates the knowledge of a host that has not read the store yet. */
export function createStoreReturns({mirror, elapsedClock}: StoreReturnsOptions): StoreReturns {
	let generation: number | undefined;
	let seenAt = Number.NEGATIVE_INFINITY;

	mirror.onChange(() => {
		const current = getGeneration(mirror.state.revision);
		// A process that starts after a return finds records of before.
		if (generation === undefined ? holdsRecordsOfBefore(mirror.state) : current !== generation) {
			seenAt = elapsedClock.elapsed();
		}

		generation = current;
	});

	return {
		mayLackHosts: now => now - seenAt < LOST_HOST_MS,
	};
}
