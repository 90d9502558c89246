import type {HostRecord} from '../leadership/leadership-record.js';
import type {UnreachableHosts} from '../membership/unreachable-hosts.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {PlacementKnowledge} from '../placement/placement-knowledge.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {PoolHosts} from './pool-hosts.js';

/** Fetches position samples of primaries from hosts that send them more requests. */
export type SampleFetcher = {
	/**
	 * Fetches a position of the group's primary and notes it; resolves with false where none was fetched.
	 *
	 * A host of a large fleet reaches each primary only about once a second. Without a position that is recent enough for a route's maximum age, its reads have to go
	 * to the primary, whose connections are needed for all writes and transactions.
	 */
	fetch(group: string, primaryId: string): Promise<boolean>;
};

/** What the fetcher needs. */
export type SampleFetcherOptions = {
	readonly peers: Peers;
	readonly poolHosts: PoolHosts;
	readonly knowledge: PlacementKnowledge;
	readonly unreachable: UnreachableHosts;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	/** Orders pool hosts by preference; their own order where it is undefined. */
	prefer?(hosts: readonly HostRecord[]): readonly HostRecord[];
};

/** Timeout for fetching a sample, in milliseconds: about twenty times the latency between zones; a read waits for it. */
const FETCH_TIMEOUT_MS = 40;

/** Delay until a group's position is fetched again, in milliseconds: a group with few samples has few reads as well. */
const RETRY_DELAY_MS = 250;

/** Creates a fetcher. */
export function createSampleFetcher({peers, poolHosts, knowledge, unreachable, clock, elapsedClock, prefer = hosts => hosts}: SampleFetcherOptions): SampleFetcher {
	const inFlight = new Map<string, Promise<boolean>>();
	const notBefore = new Map<string, number>();

	const callPoolHost = async (group: string, primaryId: string): Promise<boolean> => {
		const now = clock.now();
		const poolHost = prefer(poolHosts.getHosts({id: primaryId, group})).find(({peerAddress}) => !unreachable.has(peerAddress, now));
		if (!poolHost) {
			return false;
		}

		const sentAt = elapsedClock.elapsed();
		try {
			const {sample} = await peers.call(poolHost.peerAddress, 'loan-sample', {group}, FETCH_TIMEOUT_MS);
			if (sample) {
				// The pool host sent its request to the primary at this time or later, since its response was made after the request here was sent.
				knowledge.getSamples(group).note(sentAt - sample.ageMs, sample.position);
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
		async fetch(group, primaryId) {
			if (!poolHosts.isShared({id: primaryId, group}) || poolHosts.isPoolHost({id: primaryId, group}) || clock.now() < (notBefore.get(group) ?? 0)) {
				return false;
			}

			const fetching = inFlight.get(group) ?? callPoolHost(group, primaryId).finally(() => {
				inFlight.delete(group);
				notBefore.set(group, clock.now() + RETRY_DELAY_MS);
			});
			inFlight.set(group, fetching);
			return fetching;
		},
	};
}
