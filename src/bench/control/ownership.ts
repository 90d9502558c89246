import {performance} from 'node:perf_hooks';
import type {GroupConfig} from '../../groups/group-config.js';
import {createHostRanking} from '../../membership/host-ranking.js';
import type {PlatformHost} from '../../object-store/platform.js';
import type {Random} from '../../random/random.js';
import {
	createGroups, createHostList, createProxy, REGIONS,
} from './design-size-fleet.js';

type Figures = Readonly<Record<string, readonly [value: number, unit: string]>>;

/** Owners of each group, in order of rank, by the group's name. */
type Owners = ReadonlyMap<string, readonly string[]>;

const OWNERS_PER_GROUP = 2;
const REPLACED_PROXY_INDEX = 52;

/** Measures how groups are distributed over owners at the design size, and how many ownerships move when hosts leave or are replaced. */
export function measureOwnership(random: Random): Figures {
	const groups = createGroups(random);
	const proxies = createHostList([]);
	const startedAt = performance.now();
	const owners = getAllOwners(proxies, groups);
	const rankMs = performance.now() - startedAt;

	const replaced = getAllOwners(proxies.with(REPLACED_PROXY_INDEX, createProxy(REPLACED_PROXY_INDEX, 'entry-new')), groups);
	const [lostZone] = REGIONS[0]!;
	const withoutZone = getAllOwners(proxies.filter(({availabilityZone}) => availabilityZone !== lostZone), groups);
	const withoutRegion = getAllOwners(proxies.filter(({availabilityZone}) => !REGIONS[1]!.includes(availabilityZone)), groups);
	return {
		'ranking of 1,100 groups after a change of the host list': [rankMs, 'ms'],
		'groups owned by the busiest node': [getMaxOwned(owners), 'groups'],
		'groups owned by the busiest node, a zone lost': [getMaxOwned(withoutZone), 'groups'],
		'owners that move when one node is replaced': [countMoved(owners, replaced), 'owners'],
		'owners that move when a zone is lost': [countMoved(owners, withoutZone), 'owners'],
		'groups owned outside their own zones': [countOwnedOutsideZones(owners, groups, proxies), 'groups'],
		'groups that the other region owns while regions are apart': [
			countOwnedOutsideZones(withoutRegion, groups.filter(group => REGIONS[1]!.includes(group.endpoints[0]!.availabilityZone)), proxies), 'groups',
		],
	};
}

function getAllOwners(proxies: readonly PlatformHost[], groups: readonly GroupConfig[]): Owners {
	const ranking = createHostRanking(proxies);
	return new Map(groups.map(group => [
		group.name,
		ranking.getOwners(group.name, OWNERS_PER_GROUP, {isUsable: () => true, nearZones: getZones(group)}).map(({name}) => name),
	]));
}

function getZones({endpoints}: GroupConfig): string[] {
	return endpoints.map(({availabilityZone}) => availabilityZone);
}

function getMaxOwned(owners: Owners): number {
	const counts = new Map<string, number>();
	for (const name of [...owners.values()].flat()) {
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	return Math.max(...counts.values());
}

function countMoved(before: Owners, after: Owners): number {
	let moved = 0;
	for (const [group, owners] of before) {
		moved += owners.filter(owner => !after.get(group)!.includes(owner)).length;
	}

	return moved;
}

function countOwnedOutsideZones(owners: Owners, groups: readonly GroupConfig[], proxies: readonly PlatformHost[]): number {
	const zones = new Map(proxies.map(({name, availabilityZone}) => [name, availabilityZone]));
	return groups.filter(group => owners.get(group.name)!.some(owner => !getZones(group).includes(zones.get(owner)!))).length;
}
