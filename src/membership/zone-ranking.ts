import type {PlatformHost} from '../object-store/platform.js';
import {getWeight, type NameHash} from './rendezvous.js';

/** A host with the hash of its name. */
export type HashedHost = {
	readonly host: PlatformHost;
	readonly hash: NameHash;
};

/** A host with its weight for one group. */
export type WeighedHost = {
	readonly host: PlatformHost;
	readonly weight: number;
};

/** The hosts of one availability zone as one group ranks them. */
export type ZoneRanking = {
	/** The usable host at that rank, from 0; undefined past the last. */
	getUsable(rank: number, isUsable: (host: PlatformHost) => boolean): WeighedHost | undefined;
};

/** Hosts kept of each ranking: 1,100 groups would otherwise hold a million entries on a large fleet. */
const KEPT = 4;

/** Orders by weight, the heaviest first; names settle a tie the same way on every host. */
export function compareWeighedHosts(left: WeighedHost, right: WeighedHost): number {
	return right.weight - left.weight || (left.host.name < right.host.name ? -1 : 1);
}

/** Ranks the hosts of a zone for a group when they are first asked for. */
export function createZoneRanking(zone: readonly HashedHost[], group: NameHash): ZoneRanking {
	let kept: readonly WeighedHost[] | undefined;

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
function rankHosts(hosts: readonly HashedHost[], group: NameHash, count: number): readonly WeighedHost[] {
	const ranked: WeighedHost[] = [];
	for (const {host, hash} of hosts) {
		const weight = getWeight(group, hash);
		if (ranked.length < count || weight >= ranked[count - 1]!.weight) {
			insert(ranked, {host, weight});
			ranked.length = Math.min(ranked.length, count);
		}
	}

	return ranked;
}

function insert(ranked: WeighedHost[], weighed: WeighedHost): void {
	let place = ranked.length;
	while (place > 0 && compareWeighedHosts(weighed, ranked[place - 1]!) < 0) {
		place--;
	}

	ranked.splice(place, 0, weighed);
}
