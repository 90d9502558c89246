import {hashName} from './rendezvous.js';
import {
	compareByWeight, createZoneRanking, type HashedHost, type RankableHost, type ZoneRanking,
} from './zone-ranking.js';

/** Ranks the hosts of one list for any group. */
export type HostRanking<T extends RankableHost> = {
	/**
	 * Returns the first `count` usable hosts: the best-ranked host, then the best-ranked one of each further availability zone,
	 * then each zone's second, and so on. Zones in `nearZones` precede all others.
	 */
	getOwners(group: string, count: number, options: RankingOptions<T>): readonly T[];
};

/** What a ranking takes into account besides the group's name. */
export type RankingOptions<T extends RankableHost> = {
	isUsable(host: T): boolean;
	/** Zones that hold the group's endpoints; empty if unknown. */
	readonly nearZones: readonly string[];
};

/** Prepares a list of hosts for ranking; a group's ranking is computed on its first use. */
export function createHostRanking<T extends RankableHost>(hosts: readonly T[]): HostRanking<T> {
	const zones = groupByZone(hosts);
	const rankings = new Map<string, ReadonlyMap<string, ZoneRanking<T>>>();

	const getRankings = (group: string) => {
		const known = rankings.get(group);
		if (known) {
			return known;
		}

		const hash = hashName(group);
		const ranked = new Map([...zones].map(([zone, zoneHosts]) => [zone, createZoneRanking(zoneHosts, hash)]));
		rankings.set(group, ranked);
		return ranked;
	};

	return {
		getOwners(group, count, {isUsable, nearZones}) {
			const ranked = [...getRankings(group)];
			const near = ranked.filter(([zone]) => nearZones.includes(zone));
			const far = ranked.filter(([zone]) => !nearZones.includes(zone));
			const owners = selectAcrossZones(near, count, isUsable);
			return [...owners, ...selectAcrossZones(far, count - owners.length, isUsable)];
		},
	};
}

function selectAcrossZones<T extends RankableHost>(zones: ReadonlyArray<[string, ZoneRanking<T>]>, count: number, isUsable: RankingOptions<T>['isUsable']): readonly T[] {
	const owners: T[] = [];
	for (let rank = 0; owners.length < count; rank++) {
		const round = zones
			.map(([, ranking]) => ranking.getUsable(rank, isUsable))
			.filter(weighted => weighted !== undefined)
			.toSorted(compareByWeight);
		if (round.length === 0) {
			break;
		}

		owners.push(...round.map(({host}) => host));
	}

	return owners.slice(0, Math.max(0, count));
}

function groupByZone<T extends RankableHost>(hosts: readonly T[]): ReadonlyMap<string, ReadonlyArray<HashedHost<T>>> {
	const zones = new Map<string, Array<HashedHost<T>>>();
	for (const host of hosts) {
		const zone = zones.get(host.availabilityZone) ?? [];
		zone.push({host, hash: hashName(host.name)});
		zones.set(host.availabilityZone, zone);
	}

	return zones;
}
