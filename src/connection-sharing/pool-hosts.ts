import type {HostRecord} from '../leadership/leadership-record.js';
import {RESERVED_CONNECTIONS} from '../links/link-budget.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {EndpointKey, PoolHostLayout, PoolHostSelector} from './pool-host-layout.js';
import {SpreadLayout} from './spread-layout.js';

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
	/** Returns the hosts that keep connections to the endpoint, in the order of the layout; all live hosts where each keeps its own. The array stays the same until the hosts change. */
	getHosts(endpoint: EndpointKey): readonly HostRecord[];
};

/** What the selection needs. */
export type PoolHostsOptions = {
	readonly mirror: StoreMirror;
	readonly hostName: string;
	readonly availabilityZone: string;
	/** Where the pool hosts are; by default they are spread over all zones. */
	readonly layout?: PoolHostLayout;
};

type Selection = {
	readonly shared: boolean;
	readonly all: readonly HostRecord[];
	readonly names: ReadonlySet<string>;
	readonly endpointZone: string | undefined;
};

/** Creates the selection. Every host computes the same from its mirror; where mirrors differ, more hosts keep connections for a while. */
export function createPoolHosts({mirror, hostName, availabilityZone, layout = new SpreadLayout()}: PoolHostsOptions): PoolHosts {
	let hostCache: {readonly hosts: readonly HostRecord[]; readonly routing: unknown; readonly selectSome: PoolHostSelector; readonly live: readonly HostRecord[]} | undefined;
	let selections = new Map<string, Selection>();

	/** Returns the live hosts and prepares their selection, again after each change of the hosts or of the configuration. */
	const getLiveHosts = () => {
		const {hosts, routing} = mirror.state;
		if (hostCache?.hosts === hosts && hostCache.routing === routing) {
			return hostCache;
		}

		const live = hosts.filter(({gone}) => !gone);
		hostCache = {
			hosts, routing, live, selectSome: layout.prepare(live, availabilityZone),
		};
		selections = new Map();
		return hostCache;
	};

	const select = (endpoint: EndpointKey): Selection => {
		const {live, selectSome} = getLiveHosts();
		const connections = (mirror.state.routing?.groups.get(endpoint.group)?.maxConnections ?? 0) - RESERVED_CONNECTIONS;
		const shared = layout.isShared(live.length, connections);
		const all = shared ? selectSome(endpoint, connections) : live;
		return {
			shared, all, names: new Set(all.map(({name}) => name)), endpointZone: endpoint.availabilityZone,
		};
	};

	const getSelection = (endpoint: EndpointKey) => {
		getLiveHosts();
		const known = selections.get(endpoint.id);
		// A selection that was made before the endpoint was listed, without its zone, is replaced once the zone is known.
		if (known && (known.endpointZone !== undefined || endpoint.availabilityZone === undefined)) {
			return known;
		}

		const endpointZone = endpoint.availabilityZone ?? mirror.state.endpoints.find(({id}) => id === endpoint.id)?.availabilityZone;
		const selection = select({...endpoint, availabilityZone: endpointZone});
		selections.set(endpoint.id, selection);
		return selection;
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
