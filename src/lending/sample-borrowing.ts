import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {PlacementKnowledge} from '../placement/placement-knowledge.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {Lenders} from './lenders.js';

/** Positions of primaries from hosts that see more of them. */
export type SampleBorrowing = {
	/**
	 * Takes over a position of the group's primary; false where no host had one.
	 *
	 * A host of a large fleet meets each primary about once a second. Without a position in the time that a route's age allows, its reads have to go
	 * to the primary, whose connections all writes and transactions need.
	 */
	borrow(group: string, primaryId: string): Promise<boolean>;
};

/** What this needs. */
export type SampleBorrowingOptions = {
	readonly peers: Peers;
	readonly lenders: Lenders;
	readonly knowledge: PlacementKnowledge;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
};

/** Longest question, in milliseconds: some twenty times the way between zones; a read waits for it. */
const TIMEOUT_MS = 40;

/** A group of which no host had a position is asked about again after so long, in milliseconds: a quiet group has few reads as well. */
const PAUSE_MS = 250;

/** Creates the borrowing. */
export function createSampleBorrowing({peers, lenders, knowledge, unreachable, clock, elapsedClock}: SampleBorrowingOptions): SampleBorrowing {
	const underWay = new Map<string, Promise<boolean>>();
	const notBefore = new Map<string, number>();

	const ask = async (group: string, primaryId: string): Promise<boolean> => {
		const now = clock.now();
		const lender = lenders.getKeepers({id: primaryId, group}).find(({peerAddress}) => !unreachable.has(peerAddress, now));
		if (!lender) {
			return false;
		}

		const askedAt = elapsedClock.elapsed();
		try {
			const {sample} = await peers.call(lender.peerAddress, 'loan-sample', {group}, TIMEOUT_MS);
			if (sample) {
				// The lender asked the primary at this time or later: its answer was made after the question here went out.
				knowledge.getSamples(group).note(askedAt - sample.ageMs, sample.position);
			}

			return sample !== undefined;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return false;
		}
	};

	return {
		async borrow(group, primaryId) {
			if (!lenders.isShared({id: primaryId, group}) || lenders.keepsOwn({id: primaryId, group}) || clock.now() < (notBefore.get(group) ?? 0)) {
				return false;
			}

			const asking = underWay.get(group) ?? ask(group, primaryId).finally(() => {
				underWay.delete(group);
				notBefore.set(group, clock.now() + PAUSE_MS);
			});
			underWay.set(group, asking);
			return asking;
		},
	};
}
