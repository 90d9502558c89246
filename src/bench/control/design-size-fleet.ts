import {groupConfigSchema, type GroupConfig} from '../../groups/group-config.js';
import type {StoredGroup} from '../../groups/stored-group.js';
import {
	ObjectKind, type PlatformHost, type PlatformList, type PlatformObject,
} from '../../object-store/platform.js';
import type {Random} from '../../random/random.js';

/** The size for which the system is designed. */
export const DESIGN_SIZE = {nodes: 900, groups: 1100, serversPerGroup: 3} as const;

/** Seven availability zones in two regions. */
export const REGIONS: ReadonlyArray<readonly string[]> = [['east-1', 'east-2', 'east-3', 'east-4'], ['west-1', 'west-2', 'west-3']];

const ZONES = REGIONS.flat();

/** Creates the platform's host list: proxies spread evenly over all zones, and the servers of `groups`. */
export function createHostList(groups: readonly GroupConfig[]): PlatformHost[] {
	const proxies = Array.from({length: DESIGN_SIZE.nodes}, (_, index) => createProxy(index));
	const endpoints = groups.flatMap(group => group.endpoints.map((endpoint): PlatformHost => ({
		name: endpoint.name, role: 'endpoint', address: endpoint.address, availabilityZone: endpoint.availabilityZone, state: 'live',
	})));
	return [...proxies, ...endpoints];
}

/** Creates the proxy with this number; a number always has the same zone. */
export function createProxy(index: number, name = `entry-${index}`): PlatformHost {
	return {
		name, role: 'proxy', address: `10.0.${Math.floor(index / 250)}.${(index % 250) + 1}:7401`, availabilityZone: ZONES[index % ZONES.length]!, state: 'live',
	};
}

/** Creates the groups, each in random zones of one region. */
export function createGroups(random: Random): GroupConfig[] {
	return Array.from({length: DESIGN_SIZE.groups}, (_, index) => {
		const zones = pickZones(random);
		return groupConfigSchema.parse({
			name: `group-${index}`,
			endpoints: zones.map((availabilityZone, endpointIndex) => ({
				name: `group-${index}-${endpointIndex + 1}`,
				address: `10.${endpointIndex + 1}.${Math.floor(index / 250)}.${(index % 250) + 1}:5432`,
				availabilityZone,
				connections: 20,
				slots: 3,
			})),
		});
	});
}

function pickZones(random: Random): string[] {
	const region = random.fraction() < REGIONS[0]!.length / ZONES.length ? REGIONS[0]! : REGIONS[1]!;
	const remaining = [...region];
	return Array.from({length: DESIGN_SIZE.serversPerGroup}, () => remaining.splice(Math.floor(random.fraction() * remaining.length), 1)[0]!);
}

/** Creates the list of the groups' objects as the store returns it. */
export function createStoredList(groups: readonly GroupConfig[]): PlatformList {
	const objects = groups.map((cfg, index): PlatformObject => {
		const value: StoredGroup = {
			cfg, audit: [], nextArchive: 0, deleted: false,
		};
		return {
			kind: ObjectKind.Group, name: cfg.name, version: index + 1, value,
		};
	});
	return {revision: objects.length, objects};
}
