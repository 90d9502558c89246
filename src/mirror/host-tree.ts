import type {HostRecord} from '../leadership/leadership-record.js';

/** The part of a host's record that determines its place in the tree. */
export type TreeHost = Pick<HostRecord, 'name' | 'peerAddress' | 'availabilityZone' | 'capacity' | 'storeRttMs'>;

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

/** The shape of the tree, and the rule by which hosts whose copies of the host records differ still form no cycle. */
export type HostTreeLayout = {
	/** Whether a host names its place with each request, so that the host that it polls can apply {@link mayServe}; such hosts exchange contents in compact form. */
	readonly sendsPlace: boolean;
	createTree(hosts: readonly TreeHost[]): HostTree;
	/** Returns whether `host` may let `child` wait for updates; `readsStore` is whether `host` reads the store itself. */
	mayServe(host: TreeHost, child: TreeHost, readsStore: boolean): boolean;
	/** Returns whether two zones are usually lost together, with the link between them. */
	isSameRegion(left: string, right: string): boolean;
};

/** The layout by the names of the hosts: a parent always precedes its child by name. */
export class NameOrderLayout implements HostTreeLayout {
	get sendsPlace() {
		return false;
	}

	createTree(hosts: readonly TreeHost[]): HostTree {
		return createHostTree(hosts);
	}

	mayServe(): boolean {
		return true;
	}

	isSameRegion(): boolean {
		return true;
	}
}

/** Number of hosts of its own zone that poll one host. */
const CHILDREN_IN_ZONE = 5;

/**
 * Creates the tree of the given hosts. Each host computes it from its own copy of the host records. Even where these differ, a parent always precedes its child by
 * name, so that no cycle of hosts waits for updates from each other.
 */
export function createHostTree(hosts: readonly TreeHost[]): HostTree {
	const sorted = hosts.toSorted(byName);
	const root = sorted[0];
	const zones = groupHosts(sorted, zone => zone);

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

/** Groups hosts by a key of their zone, in the order given. */
export function groupHosts(hosts: readonly TreeHost[], getKey: (zone: string) => string): ReadonlyMap<string, readonly TreeHost[]> {
	const groups = new Map<string, TreeHost[]>();
	for (const host of hosts) {
		const key = getKey(host.availabilityZone);
		const group = groups.get(key) ?? [];
		group.push(host);
		groups.set(key, group);
	}

	return groups;
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
