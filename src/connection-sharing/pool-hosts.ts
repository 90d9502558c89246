import type {HostRecord} from '../leadership/leadership-record.js';
import {RESERVED_CONNECTIONS} from '../links/link-budget.js';
import {createHostRanking, type HostRanking} from '../membership/host-ranking.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {RegisteredEndpoint} from '../routes/routing.js';

/** Selects the pool hosts of an endpoint: the hosts that keep connections to it. */
export type PoolHosts = {
	/** This host's own zone. */
	readonly availabilityZone: string;
	/** Returns whether this host keeps connections of its own to the endpoint. */
	isPoolHost(endpoint: EndpointKey): boolean;
	/** Returns whether only some hosts keep connections to the endpoint, which all others share. */
	isShared(endpoint: EndpointKey): boolean;
	/** Returns how many hosts keep connections to the endpoint. */
	countHosts(endpoint: EndpointKey): number;
	/** Returns the hosts that keep connections to the endpoint, those in this host's zone first; all live hosts where each keeps its own. */
	getHosts(endpoint: EndpointKey): readonly HostRecord[];
};

/** The fields of an endpoint by which its pool hosts are selected. */
export type EndpointKey = Pick<RegisteredEndpoint, 'id' | 'group'>;

/** What the selection needs. */
export type PoolHostsOptions = {
	readonly mirror: StoreMirror;
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly minShare?: number;
};

/**
 * Minimum share of an endpoint's connections with which each host keeps its own: a host with one connection is blocked by a single transaction, and with less than one each, hosts cause each
 * other's connections to be rejected.
 */
const MIN_SHARE = 2;

type Selection = {
	readonly shared: boolean;
	readonly all: readonly HostRecord[];
	readonly names: ReadonlySet<string>;
};

/** Creates the selection. Every host computes the same from its mirror; where mirrors differ, more hosts keep connections for a while. */
export function createPoolHosts({mirror, hostName, availabilityZone, minShare = MIN_SHARE}: PoolHostsOptions): PoolHosts {
	let hostCache: {readonly hosts: readonly HostRecord[]; readonly routing: unknown; readonly zones: ReadonlyMap<string, HostRanking<HostRecord>>; readonly live: readonly HostRecord[]} | undefined;
	let selections = new Map<string, Selection>();

	/** Returns the live hosts, grouped by zone; they are computed again after each change of the hosts or of the configuration. */
	const getLiveHosts = () => {
		const {hosts, routing} = mirror.state;
		if (hostCache?.hosts === hosts && hostCache.routing === routing) {
			return hostCache;
		}

		const live = hosts.filter(({gone}) => !gone);
		const names = new Set([availabilityZone, ...live.map(host => host.availabilityZone).toSorted()]);
		const zones = new Map([...names].map(zone => [zone, createHostRanking(live.filter(host => host.availabilityZone === zone))]));
		hostCache = {
			hosts, routing, zones, live,
		};
		selections = new Map();
		return hostCache;
	};

	const select = ({id, group}: EndpointKey): Selection => {
		const {live, zones} = getLiveHosts();
		const connections = (mirror.state.routing?.groups.get(group)?.maxConnections ?? 0) - RESERVED_CONNECTIONS;
		const isEnoughForAll = live.length * minShare <= Math.max(connections, minShare);
		const perZone = Math.max(1, Math.floor(connections / POOL_HOST_SHARE / zones.size));
		const all = isEnoughForAll
			? live
			: [...zones.values()].flatMap(ranking => ranking.getOwners(id, perZone, {isUsable: () => true, nearZones: []}));
		return {shared: !isEnoughForAll, all, names: new Set(all.map(({name}) => name))};
	};

	const getSelection = (endpoint: EndpointKey) => {
		getLiveHosts();
		const chosen = selections.get(endpoint.id) ?? select(endpoint);
		selections.set(endpoint.id, chosen);
		return chosen;
	};

	return {
		availabilityZone,
		isPoolHost(endpoint) {
			const {all, names} = getSelection(endpoint);
			// A host that is not registered yet, or is marked as unresponsive, is in no selection; it keeps its own connections only where no host is selected.
			return names.has(hostName) || all.length === 0;
		},
		isShared: endpoint => getSelection(endpoint).shared,
		countHosts: endpoint => getSelection(endpoint).all.length,
		getHosts: endpoint => getSelection(endpoint).all,
	};
}

/** Connections to an endpoint that each pool host has as its share: enough for some statements beside a few open transactions. */
const POOL_HOST_SHARE = 4;
