import {getWeight, type NameHash} from './rendezvous.js';

/** What a host is ranked by. */
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
export type WeighedHost<T extends RankableHost> = {
	readonly host: T;
	readonly weight: number;
};

/** The hosts of one availability zone as one group ranks them. */
export type ZoneRanking<T extends RankableHost> = {
	/** The usable host at that rank, from 0; undefined past the last. */
	getUsable(rank: number, isUsable: (host: T) => boolean): WeighedHost<T> | undefined;
};

/** Hosts kept of each ranking: 1,100 groups would otherwise hold a million entries on a large fleet. */
const KEPT = 4;

/** Orders by weight, the heaviest first; names settle a tie the same way on every host. */
export function compareWeighedHosts(left: WeighedHost<RankableHost>, right: WeighedHost<RankableHost>): number {
	return right.weight - left.weight || (left.host.name < right.host.name ? -1 : 1);
}

/** Ranks the hosts of a zone for a group when they are first asked for. */
export function createZoneRanking<T extends RankableHost>(zone: ReadonlyArray<HashedHost<T>>, group: NameHash): ZoneRanking<T> {
	let kept: ReadonlyArray<WeighedHost<T>> | undefined;

	return {
		getUsable(rank, isUsable) {
			kept ??= rankHosts(zone, group, KEPT);
			const usable = kept.filter(({host}) => isUsable(host));
			if (rank < usable.length || kept.length === zone.length) {
				return usable[rank];
			}

			return rankHosts(zone.filter(({host}) => isUsable(host)), group, rank + 1)[rank];
		},
	};
}

/** The heaviest `count` hosts in order, by insertion: only few of many are wanted. */
function rankHosts<T extends RankableHost>(hosts: ReadonlyArray<HashedHost<T>>, group: NameHash, count: number): ReadonlyArray<WeighedHost<T>> {
	const ranked: Array<WeighedHost<T>> = [];
	for (const {host, hash} of hosts) {
		const weight = getWeight(group, hash);
		if (ranked.length < count || weight >= ranked[count - 1]!.weight) {
			insert(ranked, {host, weight});
			ranked.length = Math.min(ranked.length, count);
		}
	}

	return ranked;
}

function insert<T extends RankableHost>(ranked: Array<WeighedHost<T>>, weighed: WeighedHost<T>): void {
	let place = ranked.length;
	while (place > 0 && compareWeighedHosts(weighed, ranked[place - 1]!) < 0) {
		place--;
	}

	ranked.splice(place, 0, weighed);
}
