import type {HostRecord} from '../leadership/leadership-record.js';

/** What places a host in the tree. */
export type TreeHost = Pick<HostRecord, 'name' | 'peerAddress' | 'availabilityZone'>;

/**
 * The tree by which hosts ask each other for news of the store: one host reads it, the first of each availability zone asks that one, and in a zone each host has
 * a few that ask it. So news crosses to a zone once, and no host answers more than a few, however many there are.
 */
export type HostTree = {
	/** The host that `host` asks, registered or not; undefined where it reads the store itself. */
	getParent(host: TreeHost): TreeHost | undefined;
	/** The hosts that ask `host`. */
	getChildren(host: TreeHost): readonly TreeHost[];
};

/** Hosts of its zone that ask one host. */
const CHILDREN_IN_ZONE = 5;

/**
 * Creates the tree of some hosts. Each host computes it from what it holds; where hosts differ in that, an edge still leads to a host that is earlier by name, so
 * that no circle of hosts waits for news from each other.
 */
export function createHostTree(hosts: readonly TreeHost[]): HostTree {
	const sorted = hosts.toSorted(byName);
	const root = sorted[0];
	const zones = groupByZone(sorted);

	const getZone = (host: TreeHost) => zones.get(host.availabilityZone) ?? [];

	/** How many hosts of its zone come before the host. */
	const getRank = (host: TreeHost) => countBefore(getZone(host), host.name);

	const getHeads = () => [...zones.values()].map(zone => zone[0]!).filter(head => head !== root);

	return {
		getParent(host) {
			if (!root || root.name >= host.name) {
				return undefined;
			}

			const rank = getRank(host);
			return rank === 0 ? root : getZone(host)[Math.floor((rank - 1) / CHILDREN_IN_ZONE)];
		},
		getChildren(host) {
			const first = (getRank(host) * CHILDREN_IN_ZONE) + 1;
			const inZone = getZone(host).slice(first, first + CHILDREN_IN_ZONE);
			return host.name === root?.name ? [...getHeads(), ...inZone] : inZone;
		},
	};
}

function groupByZone(hosts: readonly TreeHost[]): ReadonlyMap<string, readonly TreeHost[]> {
	const zones = new Map<string, TreeHost[]>();
	for (const host of hosts) {
		const zone = zones.get(host.availabilityZone) ?? [];
		zone.push(host);
		zones.set(host.availabilityZone, zone);
	}

	return zones;
}

function byName(left: TreeHost, right: TreeHost): number {
	return left.name < right.name ? -1 : 1;
}

/** Index of the first host at or after a name, by halving. */
function countBefore(sorted: readonly TreeHost[], name: string): number {
	let low = 0;
	let high = sorted.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (sorted[middle]!.name < name) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
