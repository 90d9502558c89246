import type {HostRecord} from '../leadership/leadership-record.js';
import {getUnitWeight, hashName, type NameHash} from '../membership/rendezvous.js';
import type {EndpointKey, PoolHostLayout, PoolHostSelector} from './pool-host-layout.js';

type HashedRecord = {
	readonly host: HostRecord;
	readonly hash: NameHash;
	readonly capacity: number;
};

/** Options of the layout. */
export type EndpointZoneLayoutOptions = {
	/** Number of pool hosts of each endpoint. */
	readonly poolHosts: number;
	/** Region of each zone; undefined where there are no regions. */
	readonly zoneRegions?: ReadonlyMap<string, string>;
};

/**
 * Places the pool hosts of an endpoint in its zone, where that has too few live hosts in its region, and else anywhere. Within each of these, hosts are ranked by rendezvous hashing
 * weighted by capacity, and the result is in order of rank, the same on every host.
 *
 * A statement then crosses zones at most once either way, and the endpoint's connections are in few pools, so that fewer have to be opened.
 */
export class EndpointZoneLayout implements PoolHostLayout {
	readonly #poolHosts: number;
	readonly #zoneRegions: ReadonlyMap<string, string> | undefined;

	constructor({poolHosts, zoneRegions}: EndpointZoneLayoutOptions) {
		this.#poolHosts = poolHosts;
		this.#zoneRegions = zoneRegions;
	}

	prepare(live: readonly HostRecord[]): PoolHostSelector {
		const hashed = live.map((host): HashedRecord => ({host, hash: hashName(host.name), capacity: host.capacity ?? 1}));
		const byZone = new Map<string, HashedRecord[]>();
		for (const record of hashed) {
			const zone = byZone.get(record.host.availabilityZone) ?? [];
			zone.push(record);
			byZone.set(record.host.availabilityZone, zone);
		}

		return ({id, availabilityZone}: EndpointKey) => {
			const nearby = (availabilityZone === undefined ? undefined : byZone.get(availabilityZone)) ?? [];
			const selected = rank(nearby, hashName(id), this.#poolHosts);
			const region = availabilityZone === undefined ? undefined : this.#zoneRegions?.get(availabilityZone);
			if (selected.length < this.#poolHosts && region !== undefined) {
				const regional = hashed.filter(({host}) => host.availabilityZone !== availabilityZone && this.#zoneRegions?.get(host.availabilityZone) === region);
				selected.push(...rank(regional, hashName(id), this.#poolHosts - selected.length));
			}

			if (selected.length < this.#poolHosts) {
				const known = new Set(selected);
				selected.push(...rank(hashed.filter(({host}) => !known.has(host)), hashName(id), this.#poolHosts - selected.length));
			}

			return selected;
		};
	}
}

/** Returns the `count` hosts that rank first: a host's chance of each place is proportional to its capacity. */
function rank(hosts: readonly HashedRecord[], endpoint: NameHash, count: number): HostRecord[] {
	return hosts
		.map(({host, hash, capacity}) => ({host, score: capacity / -Math.log(getUnitWeight(endpoint, hash))}))
		.toSorted((left, right) => right.score - left.score || (left.host.name < right.host.name ? -1 : 1))
		.slice(0, count)
		.map(({host}) => host);
}
