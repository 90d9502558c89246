import {
	groupHosts, type HostTree, type HostTreeLayout, type TreeHost,
} from '../mirror/host-tree.js';
import type {Topology} from './topology.js';

/** A region's hosts in the order in which they lead. */
type RegionHosts = {
	readonly region: string;
	readonly first: TreeHost;
	readonly zones: ReadonlyMap<string, ZoneHosts>;
	readonly storeRttMs: number;
};

/** A zone's hosts in order, with the rank of the first child of each. */
type ZoneHosts = {
	readonly hosts: readonly TreeHost[];
	readonly firstChildren: readonly number[];
};

/** Capacity in cores from which a host is preferred at the top of the tree: such hosts have the wide links too. */
const LARGE_CAPACITY = 1;

/** Number of hosts of its zone that poll a host of unknown capacity. */
const CHILDREN = 5;

/** The same for a host of large capacity. */
const CHILDREN_OF_LARGE = 10;

/** The same for a small host. Its link may carry 2 Mbit/s, 83 ms for 20 KB: with five children the last would wait for longer than their requests' time allowance. */
const CHILDREN_OF_SMALL = 3;

/** Unit in which round-trip times to the store are compared, in milliseconds: differences within a region are smaller, those between regions larger. */
const STORE_RTT_UNIT_MS = 5;

/** Rounds a round-trip time to the store for a host's record, in milliseconds, so that hosts of one region tend to register the same. */
export function roundStoreRtt(ms: number): number {
	return Math.round(ms / STORE_RTT_UNIT_MS) * STORE_RTT_UNIT_MS;
}

/**
 * The layout by regions: the root is the first host of the region nearest to the store, the first host of each other region polls the root, the first host of each zone
 * polls its region's first, and the others poll a host of their own zone. So an update crosses into a region once. Hosts of large capacity come first.
 *
 * The order of the regions depends on the copy of the host records, so two hosts may each take the other for the root. Guards against a cycle of hosts that wait for
 * each other: a host makes one of another region wait only while it reads the store itself, and one of its own region only if it precedes it by capacity and name, of which
 * each host states its own.
 */
export class RegionLayout implements HostTreeLayout {
	readonly isSameRegion: (left: string, right: string) => boolean;
	readonly #topology: Topology;

	constructor(topology: Topology) {
		this.#topology = topology;
		this.isSameRegion = topology.isSameRegion;
	}

	get sendsPlace() {
		return true;
	}

	createTree(hosts: readonly TreeHost[]): HostTree {
		return createRegionTree(hosts, this.#topology);
	}

	mayServe(host: TreeHost, child: TreeHost, readsStore: boolean): boolean {
		return this.isSameRegion(host.availabilityZone, child.availabilityZone) ? compareHosts(host, child) < 0 : readsStore;
	}
}

function createRegionTree(hosts: readonly TreeHost[], {getRegion}: Topology): HostTree {
	const byRegion = groupHosts(hosts.toSorted(compareHosts), getRegion);
	const regions = [...byRegion].map(([region, regionHosts]) => createRegion(region, regionHosts)).toSorted(compareRegions);
	const near = regions[0];
	const find = (host: TreeHost) => regions.find(({region}) => region === getRegion(host.availabilityZone));

	const getZone = (host: TreeHost) => find(host)?.zones.get(host.availabilityZone);

	const getParentInZone = ({hosts: zoneHosts, firstChildren}: ZoneHosts, rank: number) => zoneHosts[countUntil(firstChildren, first => first <= rank) - 1];

	/** Returns the parent of the first host of a zone. */
	const getParentOfHead = (host: TreeHost) => {
		const region = find(host);
		const isHead = !region || compareHosts(region.first, host) >= 0;
		if (isHead) {
			return region === near ? undefined : near!.first;
		}

		return region.first;
	};

	const getChildrenInZone = (host: TreeHost) => {
		const zone = getZone(host);
		if (!zone) {
			return [];
		}

		const first = zone.firstChildren[getRank(zone, host)] ?? zone.hosts.length;
		return zone.hosts.slice(first, first + getFanOut(host));
	};

	const getChildrenElsewhere = (host: TreeHost) => {
		const region = find(host);
		if (region?.first.name !== host.name) {
			return [];
		}

		const zoneHeads = [...region.zones.values()].map(zone => zone.hosts[0]!).filter(head => head !== region.first);
		return region === near ? [...regions.slice(1).map(({first}) => first), ...zoneHeads] : zoneHeads;
	};

	return {
		getParent(host) {
			if (!near) {
				return undefined;
			}

			const zone = getZone(host);
			const rank = zone ? getRank(zone, host) : 0;
			return rank === 0 ? getParentOfHead(host) : getParentInZone(zone!, rank);
		},
		getChildren: host => [...getChildrenElsewhere(host), ...getChildrenInZone(host)],
	};
}

function createRegion(region: string, sorted: readonly TreeHost[]): RegionHosts {
	return {
		region,
		first: sorted[0]!,
		zones: new Map([...groupHosts(sorted, zone => zone)].map(([zone, hosts]) => [zone, {hosts, firstChildren: getFirstChildren(hosts)}])),
		storeRttMs: Math.min(...sorted.map(({storeRttMs}) => storeRttMs ?? Number.POSITIVE_INFINITY)),
	};
}

function getFirstChildren(hosts: readonly TreeHost[]): readonly number[] {
	let next = 1;
	return hosts.map(host => {
		const first = next;
		next += getFanOut(host);
		return first;
	});
}

function getFanOut({capacity}: TreeHost): number {
	if (capacity === undefined) {
		return CHILDREN;
	}

	return capacity >= LARGE_CAPACITY ? CHILDREN_OF_LARGE : CHILDREN_OF_SMALL;
}

function getRank({hosts}: ZoneHosts, host: TreeHost): number {
	return countUntil(hosts, other => compareHosts(other, host) < 0);
}

function isLarge({capacity = LARGE_CAPACITY}: TreeHost): boolean {
	return capacity >= LARGE_CAPACITY;
}

function compareHosts(left: TreeHost, right: TreeHost): number {
	return Number(isLarge(right)) - Number(isLarge(left)) || compareNames(left.name, right.name);
}

function compareRegions(left: RegionHosts, right: RegionHosts): number {
	return left.storeRttMs === right.storeRttMs ? compareNames(left.region, right.region) : left.storeRttMs - right.storeRttMs;
}

function compareNames(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}

/** Returns how many items at the start satisfy the condition, by binary search. */
function countUntil<T>(items: readonly T[], isBefore: (item: T) => boolean): number {
	let low = 0;
	let high = items.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (isBefore(items[middle]!)) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
