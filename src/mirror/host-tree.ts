import type {HostRecord} from '../leadership/leadership-record.js';

/** The part of a host's record that determines its place in the tree. */
export type TreeHost = Pick<HostRecord, 'name' | 'peerAddress' | 'availabilityZone'>;

/**
 * The tree along which store updates spread: the root reads the store, the first host of each other availability zone polls the root, and the remaining hosts poll
 * a host of their own zone. So an update crosses into a zone once, and no host serves more than a few others, however many hosts there are.
 */
export type HostTree = {
	/** Returns the host that `host` polls; undefined if `host` reads the store itself. `host` need not be registered. */
	getParent(host: TreeHost): TreeHost | undefined;
	/** Returns the hosts that poll `host`. */
	getChildren(host: TreeHost): readonly TreeHost[];
};

/** Number of hosts of its own zone that poll one host. */
const CHILDREN_IN_ZONE = 5;

/**
 * Creates the tree of the given hosts. Each host computes it from its own copy of the host records. Even where these differ, a parent always precedes its child by
 * name, so that no cycle of hosts waits for updates from each other.
 */
export function createHostTree(hosts: readonly TreeHost[]): HostTree {
	const sorted = hosts.toSorted(byName);
	const root = sorted[0];
	const zones = groupByZone(sorted);

	const getZone = (host: TreeHost) => zones.get(host.availabilityZone) ?? [];

	/** Returns how many hosts of its zone precede the host by name. */
	const getRank = (host: TreeHost) => countBefore(getZone(host), host.name);

	const getZoneHeads = () => [...zones.values()].map(zone => zone[0]!).filter(head => head !== root);

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
			return host.name === root?.name ? [...getZoneHeads(), ...inZone] : inZone;
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

/** Returns the index of the first host at or after a name, by binary search. */
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
