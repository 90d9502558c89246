import type {PlatformHost} from '../object-store/platform.js';
import {createHostRanking, type HostRanking} from './host-ranking.js';
import type {Hosts, Owning} from './hosts.js';

/** What the selection of owners needs. */
export type OwningOptions = {
	readonly hosts: Hosts;
	/** Returns the availability zones of a group's endpoints, whose hosts rank before all others; empty if unknown. */
	getGroupZones?(group: string): readonly string[];
};

type CachedOwners = {
	readonly count: number;
	readonly nearZones: string;
	readonly hosts: readonly PlatformHost[];
};

/**
 * Creates the selection of owners.
 *
 * Rankings are cached until the list of hosts changes, and the owners of a group until the set of usable hosts changes. Hosts whose
 * lists differ for a moment may select different owners, which costs connections and a second try, nothing else.
 */
export function createOwning({hosts, getGroupZones}: OwningOptions): Owning {
	let rankedHosts: readonly PlatformHost[] | undefined;
	let ranking: HostRanking<PlatformHost> = createHostRanking([]);
	let usableHosts: readonly PlatformHost[] | undefined;
	let usableNames: ReadonlySet<string> = new Set();
	const ownersByGroup = new Map<string, CachedOwners>();

	const refresh = (now: number) => {
		const all = hosts.getAll();
		if (all !== rankedHosts) {
			rankedHosts = all;
			ranking = createHostRanking(all);
		}

		const usable = hosts.getUsable(now);
		if (usable !== usableHosts) {
			usableHosts = usable;
			usableNames = new Set(usable.map(host => host.name));
			ownersByGroup.clear();
		}
	};

	return {
		getOwners(group, count, now) {
			refresh(now);
			const zones = getGroupZones?.(group) ?? [];
			const nearZones = zones.join(' ');
			const known = ownersByGroup.get(group);
			if (known?.count === count && known.nearZones === nearZones) {
				return known.hosts;
			}

			const owners = ranking.getOwners(group, count, {isUsable: host => usableNames.has(host.name), nearZones: zones});
			ownersByGroup.set(group, {count, nearZones, hosts: owners});
			return owners;
		},
	};
}
