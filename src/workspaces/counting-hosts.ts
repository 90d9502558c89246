import type {HostRecord} from '../leadership/leadership-record.js';
import {createHostRanking, type HostRanking} from '../membership/host-ranking.js';
import {hashName} from '../membership/rendezvous.js';

/** Which hosts count the operations of which workspaces. */
export type CountingHosts = {
	/** Addresses of the host that counts the workspace's operations, and of those that stand by, in order; empty before any host is registered. */
	get(workspace: string): readonly string[];
};

/** The host that counts, and some to turn to in order where that does not answer. */
const RANKED = 3;

/** Hosts that count, in parts of the square root of all hosts. */
const PER_ROOT = 1.5;

/**
 * Creates the choice, the same at every host with the same list.
 *
 * Only some hosts count, more of them in a larger fleet: with a host of its own for each workspace every host would keep a link to every other, and with one for all that one
 * would answer for every operation of the fleet.
 */
export function createCountingHosts(getHosts: () => readonly HostRecord[]): CountingHosts {
	let listed: readonly HostRecord[] | undefined;
	let ranking: HostRanking<HostRecord>;
	let slots = 1;
	let known = new Map<string, readonly string[]>();

	const update = () => {
		const hosts = getHosts();
		if (hosts === listed) {
			return;
		}

		const live = hosts.filter(({gone}) => !gone);
		listed = hosts;
		ranking = createHostRanking(live);
		// A power of two, so that a host more or less seldom moves a workspace.
		slots = 2 ** Math.ceil(Math.log2(Math.max(1, PER_ROOT * Math.sqrt(live.length))));
		known = new Map();
	};

	const rank = (slot: number) => ranking.getOwners(`rate limits ${slot}`, RANKED, {isUsable: () => true, nearZones: []}).map(({peerAddress}) => peerAddress);

	return {
		get(workspace) {
			update();
			// The hash is signed.
			const addresses = known.get(workspace) ?? rank((hashName(workspace).low >>> 0) % slots);
			known.set(workspace, addresses);
			return addresses;
		},
	};
}
