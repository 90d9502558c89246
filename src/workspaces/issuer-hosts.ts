import type {HostRecord} from '../leadership/leadership-record.js';
import {createHostRanking, type HostRanking} from '../membership/host-ranking.js';
import {hashName} from '../membership/rendezvous.js';

/** Assigns each workspace to the hosts that issue its rate limit tokens. */
export type IssuerHosts = {
	/** Returns the addresses of the workspace's issuer and of its fallbacks, in order of preference; empty before any host is registered. */
	get(workspace: string): readonly string[];
};

/** Number of hosts ranked for each slot: the issuer, and two fallbacks for when it does not respond. */
const CANDIDATES_PER_SLOT = 3;

/** Minimum number of slots per square root of the number of live hosts; each slot has one issuer. */
const SLOTS_PER_SQRT_HOST = 1.5;

/**
 * Creates the assignment, which is the same at every host with the same list of hosts.
 *
 * Only some hosts are issuers, more of them in a larger fleet. If workspaces were spread over all hosts, every host would keep a link to every other; a single issuer would serve
 * every operation of the fleet.
 */
export function createIssuerHosts(getHosts: () => readonly HostRecord[]): IssuerHosts {
	let rankedHosts: readonly HostRecord[] | undefined;
	let ranking: HostRanking<HostRecord>;
	let slots = 1;
	let cache = new Map<string, readonly string[]>();

	const update = () => {
		const hosts = getHosts();
		if (hosts === rankedHosts) {
			return;
		}

		const live = hosts.filter(({gone}) => !gone);
		rankedHosts = hosts;
		ranking = createHostRanking(live);
		// A power of two, so that adding or removing a host rarely changes a workspace's slot.
		slots = 2 ** Math.ceil(Math.log2(Math.max(1, SLOTS_PER_SQRT_HOST * Math.sqrt(live.length))));
		cache = new Map();
	};

	const rankIssuers = (slot: number) => ranking.getOwners(`rate limits ${slot}`, CANDIDATES_PER_SLOT, {isUsable: () => true, nearZones: []}).map(({peerAddress}) => peerAddress);

	return {
		get(workspace) {
			update();
			// The hash is a signed integer.
			const addresses = cache.get(workspace) ?? rankIssuers((hashName(workspace).low >>> 0) % slots);
			cache.set(workspace, addresses);
			return addresses;
		},
	};
}
