import {PlatformError} from '../object-store/platform-errors.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {Log} from '../log/log.js';
import type {StoreUpdate} from './mirror-calls.js';
import type {MirrorCopy} from './mirror-copy.js';
import {createPeerChoice} from './peer-choice.js';
import {formatQualified} from './store-generation.js';

/** Confirms the copy by the responses of other hosts if the store does not respond to this one. */
export type PeerConfirmation = {
	/** Asks other hosts; resolves with true if one of them was confirmed by the store after this call, or all of them confirm together. */
	confirm(): Promise<boolean>;
};

/** What the confirmation by peers needs. */
export type PeerConfirmationOptions = {
	readonly copy: MirrorCopy;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly ownPeerAddress: string;
	/** Returns the groups that this host is changing, or whose leadership it knows to have changed since its copy of the store. */
	getChanging(): readonly string[];
	/** Returns the addresses of all other hosts that are not marked as unresponsive, or of the other seeds if no host is known. */
	getOthers(): readonly string[];
	/** Sends one host an urgent request, for which it reads the configuration too if `readsRouting`, and applies its response; undefined if it did not respond. */
	askPeer(address: string, readsRouting: boolean): Promise<{readonly update: StoreUpdate; readonly confirmed: boolean} | undefined>;
};

/**
 * Time without a confirmation by the store after which confirmations by other hosts, or by endpoints, no longer count, in milliseconds. Later, the
 * host's own record may have been deleted as that of an unresponsive host, and hosts that it does not know may replace primaries. Outages of 3 to
 * 9 s are common; but the longer this time, the longer a dead host's record is kept, and each replacement of a primary waits while it is there.
 */
export const MAX_WITHOUT_STORE_MS = 9000;

/** Creates the confirmation by peers. */
export function createPeerConfirmation(options: PeerConfirmationOptions): PeerConfirmation {
	const {copy, elapsedClock, log} = options;
	const choosePeers = createPeerChoice(options.ownPeerAddress);
	let turn = 0;
	/** The host that last confirmed by the store. */
	let reachingPeer: string | undefined;

	const withReachingPeer = (chosen: readonly string[], all: readonly string[]) =>
		reachingPeer === undefined || chosen.includes(reachingPeer) || !all.includes(reachingPeer) ? chosen : [reachingPeer, ...chosen.slice(1)];

	/**
	 * Keeps traffic running in an outage of the store while no primary changes. A change of primary begins with an update of the store by a
	 * registered host. If every registered host responds, after the request, that it has no such update in progress
	 * and holds nothing newer, then none had begun at the time of the request; and any that begins later waits for this host's
	 * acknowledgement, or for the expiry of what this confirmation allows.
	 *
	 * A host that is not asked could begin one: a host that is marked as unresponsive and has recovered, or one that registered since this host
	 * read the store. So no host may be marked, and the store must have been read recently: a new host waits for longer before it replaces anything.
	 */
	const isUnanimous = (responses: ReadonlyArray<StoreUpdate | undefined>, revision: number) =>
		copy.state.hosts.length > 0
		&& copy.state.hosts.every(host => !host.gone)
		&& elapsedClock.elapsed() - (copy.storeConfirmedAt ?? Number.NEGATIVE_INFINITY) < MAX_WITHOUT_STORE_MS
		&& copy.state.revision === revision
		&& options.getChanging().length === 0
		&& responses.every(response => response?.revision === revision && response.changing.length === 0);

	return {
		async confirm() {
			const all = options.getOthers();
			const others = withReachingPeer(choosePeers(all), all);
			const askedAt = elapsedClock.elapsed();
			const {revision} = copy.state;
			// One at a time reads the configuration, which may be large: one that has reached the store, if any has.
			const reading = reachingPeer !== undefined && others.includes(reachingPeer) ? reachingPeer : others[turn++ % Math.max(1, others.length)];
			const requests = others.map(async address => options.askPeer(address, address === reading));
			const firstConfirmed = Promise.any(requests.map(async (request, i) => {
				const response = await request;
				reachingPeer = response?.confirmed ? others[i] : (reachingPeer === others[i] ? undefined : reachingPeer);
				return response?.confirmed === true || throwNotConfirmed();
			}));
			if (await firstConfirmed.catch(() => false)) {
				return true;
			}

			const responses = await Promise.all(requests);
			if (others.length > 0 && others.length === all.length && isUnanimous(responses.map(response => response?.update), revision)) {
				log.info('every host confirms that no primary is being changed', {revision: formatQualified(revision), hosts: others.length + 1});
				copy.noteConfirmed(askedAt);
				return true;
			}

			return false;
		},
	};
}

function throwNotConfirmed(): never {
	throw new PlatformError('a peer did not confirm');
}
