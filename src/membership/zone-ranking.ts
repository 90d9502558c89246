import {getWeight, type NameHash} from './rendezvous.js';

/** The properties by which a host is ranked. */
export type RankableHost = {
	readonly name: string;
	readonly availabilityZone: string;
};

/** A host with the hash of its name. */
export type HashedHost<T extends RankableHost> = {
	readonly host: T;
	readonly hash: NameHash;
};

/** A host with its weight for one group. */
export type WeightedHost<T extends RankableHost> = {
	readonly host: T;
	readonly weight: number;
};

/** The ranking of one availability zone's hosts for one group. */
export type ZoneRanking<T extends RankableHost> = {
	/** Returns the usable host at that rank, from 0; undefined past the last. */
	getUsable(rank: number, isUsable: (host: T) => boolean): WeightedHost<T> | undefined;
};

/** Number of hosts kept per ranking: on a large fleet 1,100 groups would otherwise hold a million entries. */
const KEPT_HOSTS = 4;

/** Compares by weight, the highest first; ties are broken by name, so that every host has the same order. */
export function compareByWeight(left: WeightedHost<RankableHost>, right: WeightedHost<RankableHost>): number {
	return right.weight - left.weight || (left.host.name < right.host.name ? -1 : 1);
}

/** Creates the ranking of a zone's hosts for a group, which is computed on its first use. */
export function createZoneRanking<T extends RankableHost>(zone: ReadonlyArray<HashedHost<T>>, group: NameHash): ZoneRanking<T> {
	let kept: ReadonlyArray<WeightedHost<T>> | undefined;

	return {
		getUsable(rank, isUsable) {
			kept ??= rankHosts(zone, group, KEPT_HOSTS);
			const usable = kept.filter(({host}) => isUsable(host));
			if (rank < usable.length || kept.length === zone.length) {
				return usable[rank];
			}

			return rankHosts(zone.filter(({host}) => isUsable(host)), group, rank + 1)[rank];
		},
	};
}

/** Returns the `count` hosts of the highest weights in order, by insertion, since only a few of many are needed. */
function rankHosts<T extends RankableHost>(hosts: ReadonlyArray<HashedHost<T>>, group: NameHash, count: number): ReadonlyArray<WeightedHost<T>> {
	const ranked: Array<WeightedHost<T>> = [];
	for (const {host, hash} of hosts) {
		const weight = getWeight(group, hash);
		if (ranked.length < count || weight >= ranked[count - 1]!.weight) {
			insert(ranked, {host, weight});
			ranked.length = Math.min(ranked.length, count);
		}
	}

	return ranked;
}

function insert<T extends RankableHost>(ranked: Array<WeightedHost<T>>, weighted: WeightedHost<T>): void {
	let index = ranked.length;
	while (index > 0 && compareByWeight(weighted, ranked[index - 1]!) < 0) {
		index--;
	}

	ranked.splice(index, 0, weighted);
}
