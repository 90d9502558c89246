import type {HostRecord} from '../leadership/leadership-record.js';
import {getUnitWeight, hashName, type NameHash} from '../membership/rendezvous.js';
import {
	areTooFew, type EndpointKey, type PoolHostLayout, type PoolHostSelector,
} from './pool-host-layout.js';

type HashedRecord = {
	readonly host: HostRecord;
	readonly hash: NameHash;
	readonly capacity: number;
};

/** The live hosts of one zone. */
type Zone = {
	/** Differs where another ranking could result. */
	readonly signature: string;
	readonly hosts: readonly HashedRecord[];
	/** Pool hosts by endpoint. */
	readonly ranked: Map<string, readonly HostRecord[]>;
};

/** Maximum number of endpoints whose pool hosts are cached for one zone. */
const MAX_CACHED_ENDPOINTS = 10_000;

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
	#zones: ReadonlyMap<string, Zone> = new Map();

	constructor({poolHosts, zoneRegions}: EndpointZoneLayoutOptions) {
		this.#poolHosts = poolHosts;
		this.#zoneRegions = zoneRegions;
	}

	isShared(liveHosts: number, connections: number): boolean {
		return liveHosts > this.#poolHosts && areTooFew(connections, liveHosts);
	}

	prepare(live: readonly HostRecord[]): PoolHostSelector {
		const hashed = live.map((host): HashedRecord => ({host, hash: hashName(host.name), capacity: host.capacity ?? 1}));
		this.#zones = this.#groupByZone(hashed);
		return ({id, availabilityZone}: EndpointKey) => {
			const zone = availabilityZone === undefined ? undefined : this.#zones.get(availabilityZone);
			if (zone && zone.hosts.length >= this.#poolHosts) {
				return this.#rankInZone(zone, id);
			}

			const selected = rank(zone?.hosts ?? [], hashName(id), this.#poolHosts);
			const region = availabilityZone === undefined ? undefined : this.#zoneRegions?.get(availabilityZone);
			if (region !== undefined) {
				const regional = hashed.filter(({host}) => host.availabilityZone !== availabilityZone && this.#zoneRegions?.get(host.availabilityZone) === region);
				selected.push(...rank(regional, hashName(id), this.#poolHosts - selected.length));
			}

			const known = new Set(selected);
			selected.push(...rank(hashed.filter(({host}) => !known.has(host)), hashName(id), this.#poolHosts - selected.length));
			return selected;
		};
	}

	/** Groups hosts by zone. A zone without a change keeps its rankings: on a large fleet hosts change often, and ranking all endpoints again takes most of a second. */
	#groupByZone(hashed: readonly HashedRecord[]): ReadonlyMap<string, Zone> {
		const byZone = new Map<string, HashedRecord[]>();
		for (const record of hashed) {
			const hosts = byZone.get(record.host.availabilityZone) ?? [];
			hosts.push(record);
			byZone.set(record.host.availabilityZone, hosts);
		}

		return new Map([...byZone].map(([name, hosts]) => {
			const signature = hosts.map(({host, capacity}) => `${host.name} ${host.peerAddress} ${capacity}`).join(',');
			const earlier = this.#zones.get(name);
			return [name, earlier?.signature === signature ? earlier : {signature, hosts, ranked: new Map()}];
		}));
	}

	#rankInZone({hosts, ranked}: Zone, endpointId: string): readonly HostRecord[] {
		const known = ranked.get(endpointId);
		if (known) {
			return known;
		}

		if (ranked.size >= MAX_CACHED_ENDPOINTS) {
			ranked.clear();
		}

		const selected = rank(hosts, hashName(endpointId), this.#poolHosts);
		ranked.set(endpointId, selected);
		return selected;
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
