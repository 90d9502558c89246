import type {HostRecord} from '../leadership/leadership-record.js';
import {RESERVED_CONNECTIONS} from '../links/link-budget.js';
import {createHostRanking, type HostRanking} from '../membership/host-ranking.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {RegisteredEndpoint} from '../routes/routing.js';

/** Which hosts keep connections to an endpoint. */
export type Lenders = {
	/** This host's own zone. */
	readonly availabilityZone: string;
	/** Whether this host keeps connections of its own to the endpoint. */
	keepsOwn(endpoint: EndpointName): boolean;
	/** Whether only some hosts keep connections to the endpoint, which lend them to all others. */
	isShared(endpoint: EndpointName): boolean;
	/** How many hosts share the endpoint's connections. */
	countKeepers(endpoint: EndpointName): number;
	/** Hosts that keep connections to the endpoint, in this host's zone first; all that live where each keeps its own. */
	getKeepers(endpoint: EndpointName): readonly HostRecord[];
};

/** What an endpoint is ranked by. */
export type EndpointName = Pick<RegisteredEndpoint, 'id' | 'group'>;

/** What this needs. */
export type LendersOptions = {
	readonly mirror: StoreMirror;
	readonly hostName: string;
	readonly availabilityZone: string;
	readonly leastShare?: number;
};

/**
 * Fewest connections to an endpoint that are worth a host's own share: a host with one is blocked by a single transaction, and with less than one each, hosts turn each other
 * away.
 */
const LEAST_SHARE = 2;

type Keepers = {
	readonly shared: boolean;
	readonly all: readonly HostRecord[];
	readonly names: ReadonlySet<string>;
};

/** Creates the choice. Every host computes the same from its copy of the store; where copies differ, more hosts keep connections for a while. */
export function createLenders({mirror, hostName, availabilityZone, leastShare = LEAST_SHARE}: LendersOptions): Lenders {
	let known: {readonly hosts: readonly HostRecord[]; readonly routing: unknown; readonly zones: ReadonlyMap<string, HostRanking<HostRecord>>; readonly live: readonly HostRecord[]} | undefined;
	let cached = new Map<string, Keepers>();

	/** Hosts by zone, anew after each change of them or of the configuration. */
	const getHosts = () => {
		const {hosts, routing} = mirror.state;
		if (known?.hosts === hosts && known.routing === routing) {
			return known;
		}

		const live = hosts.filter(({gone}) => !gone);
		const names = new Set([availabilityZone, ...live.map(host => host.availabilityZone).toSorted()]);
		const zones = new Map([...names].map(zone => [zone, createHostRanking(live.filter(host => host.availabilityZone === zone))]));
		known = {
			hosts, routing, zones, live,
		};
		cached = new Map();
		return known;
	};

	const choose = ({id, group}: EndpointName): Keepers => {
		const {live, zones} = getHosts();
		const connections = (mirror.state.routing?.groups.get(group)?.maxConnections ?? 0) - RESERVED_CONNECTIONS;
		const isEnoughForAll = live.length * leastShare <= Math.max(connections, leastShare);
		const perZone = Math.max(1, Math.floor(connections / LENT_SHARE / zones.size));
		const all = isEnoughForAll
			? live
			: [...zones.values()].flatMap(ranking => ranking.getOwners(id, perZone, {isUsable: () => true, nearZones: []}));
		return {shared: !isEnoughForAll, all, names: new Set(all.map(({name}) => name))};
	};

	const getChosen = (endpoint: EndpointName) => {
		getHosts();
		const chosen = cached.get(endpoint.id) ?? choose(endpoint);
		cached.set(endpoint.id, chosen);
		return chosen;
	};

	return {
		availabilityZone,
		keepsOwn(endpoint) {
			const {all, names} = getChosen(endpoint);
			// A host that is not registered yet, or was marked, can only help itself where everybody does.
			return names.has(hostName) || all.length === 0;
		},
		isShared: endpoint => getChosen(endpoint).shared,
		countKeepers: endpoint => getChosen(endpoint).all.length,
		getKeepers: endpoint => getChosen(endpoint).all,
	};
}

/** Connections to an endpoint that each lender has as its share: as many as serve some statements beside a few open transactions. */
const LENT_SHARE = 4;
