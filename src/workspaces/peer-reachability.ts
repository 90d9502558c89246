import {isHostAlive} from '../membership/is-host-alive.js';
import type {Peers} from '../peers/peers.js';
import type {Clock} from '../time/clock.js';

/** Checks whether this host reaches other hosts. */
export type PeerReachability = {
	/** Resolves with whether another host was in contact recently, or one at `addresses` responds now; true where `addresses` is empty. */
	check(addresses: readonly string[]): Promise<boolean>;
	/** Records that another host has just responded or sent a request. */
	noteContact(): void;
};

/** Time for which this host counts as reachable after a contact, in milliseconds. */
const REACHABLE_FOR_MS = 1000;

/** Time for which this host counts as isolated after a check without a response, in milliseconds. */
const ISOLATED_FOR_MS = 250;

/** Timeout of a probe, in milliseconds: about fifty times the latency between zones. */
const PROBE_TIMEOUT_MS = 100;

/** Maximum number of hosts that are probed in one check. */
const MAX_PROBED_HOSTS = 2;

/** Creates the check of a host that has had no contact yet. */
export function createPeerReachability(peers: Peers, clock: Clock): PeerReachability {
	let reachableUntil = Number.NEGATIVE_INFINITY;
	let isolatedUntil = Number.NEGATIVE_INFINITY;
	let pendingCheck: Promise<boolean> | undefined;

	const noteContact = () => {
		reachableUntil = clock.now() + REACHABLE_FOR_MS;
		isolatedUntil = Number.NEGATIVE_INFINITY;
	};

	const probe = async (address: string) => {
		const isAlive = await isHostAlive(peers, address, PROBE_TIMEOUT_MS);
		if (isAlive) {
			noteContact();
		}

		return isAlive;
	};

	const probeAny = async (addresses: readonly string[]) => {
		const results = await Promise.all(addresses.slice(0, MAX_PROBED_HOSTS).map(async address => probe(address)));
		const isReachable = results.includes(true);
		isolatedUntil = isReachable ? Number.NEGATIVE_INFINITY : clock.now() + ISOLATED_FOR_MS;
		return isReachable;
	};

	return {
		async check(addresses) {
			const now = clock.now();
			if (addresses.length === 0 || now < reachableUntil) {
				return true;
			}

			if (now < isolatedUntil) {
				return false;
			}

			pendingCheck ??= probeAny(addresses).finally(() => {
				pendingCheck = undefined;
			});
			return pendingCheck;
		},
		noteContact,
	};
}
