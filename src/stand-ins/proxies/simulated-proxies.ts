import type {EndpointLink, LinkOpener} from '../../links/endpoint-link.js';
import {createLinkLost} from '../../links/link-errors.js';
import type {Log} from '../../log/log.js';
import {createSilentLog} from '../../log/silent-log.js';
import type {MetadataStore} from '../../mirror/metadata-store.js';
import type {Kernel} from '../../kernel/kernel.js';
import {createPromGatewayMetrics} from '../../gateway/prom-gateway-metrics.js';
import {OrderOutcome, type PromotionOrder} from '../../leadership/promotion-orders.js';
import {formatEndpointId, getServerId} from '../../platform/endpoint-identity.js';
import {createProxy} from '../../proxy/create-proxy.js';
import type {ProxyFeatures} from '../../proxy/proxy-features.js';
import type {Workspace} from '../../workspaces/workspace.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import type {RegisteredEndpoint, Route, Routing} from '../../routes/routing.js';
import {createInMemoryMetadataStore, type InMemoryMetadataStore} from '../metadata-store/in-memory-metadata-store.js';
import type {LivePeers} from '../../peers/create-peers.js';
import {createPeerNetwork, type PeerNetwork} from '../peers/in-memory-peers.js';
import {withinMs} from '../../time/deadline.js';
import type {ReadPlacement} from '../../placement/read-placement.js';
import {createPlainGroup, type PlainGroup, type PlainGroupOptions} from '../plain-group/plain-group.js';
import type {VirtualClock} from '../time/virtual-clock.js';
import {createHostClock, type HostClock} from './host-clock.js';

/** One simulated proxy. */
export type SimulatedProxy = {
	readonly name: string;
	readonly peerAddress: string;
	readonly availabilityZone: string;
	readonly kernel: Kernel;
	readonly clock: HostClock;
	/** Ids of the servers that it cannot reach. */
	readonly cutFrom: Set<string>;
	killed: boolean;
	/** Resolves once it is killed. */
	readonly termination: Promise<void>;
};

/** A simulated system of proxies, database groups and the platform on one virtual clock. */
export type SimulatedProxies = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	readonly network: PeerNetwork;
	readonly groups: readonly PlainGroup[];
	readonly proxies: readonly SimulatedProxy[];
	/** Promotion orders that arrived at the platform, oldest first. */
	readonly orders: readonly PromotionOrder[];
	/** Starts a proxy, or restarts it after it was killed. */
	startProxy(name: string): Promise<SimulatedProxy>;
	/** Ends a proxy's process immediately: nothing that it sends arrives afterwards. */
	kill(proxy: SimulatedProxy): void;
	/** Cuts the power of a proxy's host: it ends as when killed, but servers keep its connections for 3 s, because none of them was closed. */
	powerOff(proxy: SimulatedProxy): void;
	suspend(proxy: SimulatedProxy): void;
	resume(proxy: SimulatedProxy): void;
	/** Registers the groups' running servers with their current state. */
	registerEndpoints(): void;
	/** Sets the faults of promotion orders from now on; none where left out. */
	setOrderFaults(faults?: OrderFaults): void;
	stop(): void;
};

/** Faults of promotion orders. */
export type OrderFaults = {
	/** Maximum delay before an order arrives at the platform, in milliseconds. */
	readonly maxDelayMs: number;
	/** Share of orders that are processed without a response. */
	readonly loseShare: number;
	/** Name of a proxy whose orders the platform refuses. */
	readonly refusedFrom?: string;
};

/** Options of a simulated system. */
export type SimulatedProxiesOptions = {
	readonly clock: VirtualClock;
	readonly seed: number;
	readonly groups: ReadonlyArray<Omit<PlainGroupOptions, 'clock'>>;
	readonly routes: readonly Route[];
	readonly workspaces?: readonly Workspace[];
	/** Time after which hosts may not honour a revoked key, in milliseconds. */
	readonly revokeWithinMs?: number;
	/** Time for which work may begin under a configuration that the store has not confirmed again, in milliseconds; unlimited without it. */
	readonly maxRoutingAgeMs?: number;
	/** Time from the announcement of an endpoint that it is leaving until it gets no new work, in milliseconds; unlimited without it. */
	readonly maxLeavingMs?: number;
	readonly log?: Log;
	/** Maximum delay before an order arrives at the platform, in milliseconds; default 10. */
	readonly maxOrderDelayMs?: number;
	/** Returns the names of the proxies that a proxy knows when it starts, which may have ended; none by default. */
	getSeeds?(): readonly string[];
	/** Number of availability zones, named from `zone-0`, to which hosts are assigned in turn; default 3. */
	readonly zoneCount?: number;
	/** Creates the read placement of a host, in place of the product's own. */
	createPlacement?(proxy: SimulatedProxy): ReadPlacement;
	/** Features of each proxy; none by default. */
	readonly features?: ProxyFeatures;
	/** Wraps a proxy's client of the store, for experiments with other designs. */
	wrapStore?(store: MetadataStore, proxy: SimulatedProxy): MetadataStore;
	/** Wraps a proxy's calls to its peers. */
	wrapPeers?(peers: LivePeers): LivePeers;
};

const DEFAULT_MAX_ORDER_DELAY_MS = 10;

/** Time after which a server drops a connection whose remote host has lost power, in milliseconds. */
const DEAD_CONNECTION_TIMEOUT_MS = 3000;

const DEFAULT_ZONE_COUNT = 3;

/** Never settles: a killed host receives no results. */
const NEVER = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

/** Creates a system without proxies and starts the replication of its groups. */
export function createSimulatedProxies(options: SimulatedProxiesOptions): SimulatedProxies {
	const {clock, zoneCount = DEFAULT_ZONE_COUNT} = options;
	const random = createSeededRandom(options.seed);
	const store = createInMemoryMetadataStore(clock, random);
	const network = createPeerNetwork(clock);
	const groups = options.groups.map(group => createPlainGroup({...group, clock}));
	const proxies: SimulatedProxy[] = [];
	const orders: PromotionOrder[] = [];

	const killResolvers = new Map<SimulatedProxy, () => void>();

	/** The links of each proxy, which are cut when its host ends. */
	const links = new Map<SimulatedProxy, Set<EndpointLink>>();

	const routing: Routing = {
		version: 1,
		routes: new Map(options.routes.map(route => [route.database, route])),
		groups: new Map(options.groups.map(group => [group.name, {name: group.name, maxConnections: group.maxConnections ?? 22, syncReplicas: group.syncReplicas}])),
		workspaces: new Map(options.workspaces?.map(workspace => [workspace.name, workspace])),
		idleTransactionMs: 3000,
	};

	const registerEndpoints = () => {
		store.setEndpoints(groups.flatMap(group => group.servers.filter(({running}) => running).map((server): RegisteredEndpoint => ({
			id: formatEndpointId(server.id, server.incarnation === 0 ? undefined : server.incarnation),
			server: server.id,
			group: group.name,
			address: server.address,
			availabilityZone: server.availabilityZone,
			slots: group.slots,
			leaving: server.leaving,
			claimsLead: server.role === 'primary',
		}))));
	};

	store.setRouting(routing);
	registerEndpoints();
	for (const group of groups) {
		group.start();
	}

	/** Delays a result while the host is suspended, and withholds it for good once the host is killed. */
	const deliver = async <T>(proxy: SimulatedProxy, promise: Promise<T>): Promise<T> => {
		try {
			return await promise;
		} finally {
			await proxy.clock.whenRunning();
			if (proxy.killed) {
				await NEVER;
			}
		}
	};

	const createOpener = (proxy: SimulatedProxy): LinkOpener => ({
		async open(target, timeoutMs, listener) {
			const group = groups.find(({name}) => name === target.group)!;
			const isCut = () => proxy.killed || proxy.cutFrom.has(getServerId(target.endpointId));
			const opened = await withinMs(proxy.clock, timeoutMs, deliver(proxy, group.open(target, listener, isCut, proxy.availabilityZone)));
			if (opened.timedOut) {
				throw createLinkLost(target.address, `not open within ${timeoutMs} ms`);
			}

			const link = opened.value;
			links.get(proxy)!.add(link);
			return {
				...link,
				get pending() {
					return link.pending;
				},
				get closed() {
					return link.closed;
				},
				exchange: async req => deliver(proxy, link.exchange(req)),
				readStatus: async req => deliver(proxy, link.readStatus(req)),
			};
		},
	});

	const createStoreClient = (proxy: SimulatedProxy): MetadataStore => {
		const client = store.getClient(proxy.name);
		return {
			getRevision: async timeoutMs => deliver(proxy, client.getRevision(timeoutMs)),
			readRouting: async timeoutMs => deliver(proxy, client.readRouting(timeoutMs)),
			listEndpoints: async timeoutMs => deliver(proxy, client.listEndpoints(timeoutMs)),
			listRecords: async (kind, timeoutMs) => deliver(proxy, client.listRecords(kind, timeoutMs)),
			putRecord: async (kind, record, timeoutMs) => deliver(proxy, client.putRecord(kind, record, timeoutMs)),
			deleteRecord: async (kind, name, version, timeoutMs) => deliver(proxy, client.deleteRecord(kind, name, version, timeoutMs)),
		};
	};

	let orderFaults: OrderFaults | undefined;

	/** Promotes as ordered. An order that has not arrived by its sender's timeout never arrives, because the sender closes the connection. */
	const processOrder = async (proxy: SimulatedProxy, order: PromotionOrder, timeoutMs: number) => {
		const transitMs = random.fraction() * (orderFaults?.maxDelayMs ?? options.maxOrderDelayMs ?? DEFAULT_MAX_ORDER_DELAY_MS);
		const isLost = orderFaults !== undefined && random.fraction() < orderFaults.loseShare;
		await clock.sleep(Math.min(transitMs, timeoutMs));
		if (proxy.killed) {
			return NEVER;
		}

		if (transitMs >= timeoutMs) {
			return OrderOutcome.Unknown;
		}

		if (orderFaults?.refusedFrom === proxy.name) {
			return OrderOutcome.Refused;
		}

		orders.push(order);
		const outcome = groups.find(({name}) => name === order.group)?.promote(order.endpointId) ?? OrderOutcome.Refused;
		if (isLost) {
			await clock.sleep(timeoutMs - transitMs);
			return OrderOutcome.Unknown;
		}

		return outcome;
	};

	const terminate = (proxy: SimulatedProxy) => {
		(proxy as {killed: boolean}).killed = true;
		killResolvers.get(proxy)!();
		network.kill(proxy.peerAddress);
		void proxy.kernel.stop();
	};

	const cutLinks = (proxy: SimulatedProxy) => {
		for (const link of links.get(proxy)!) {
			link.cut();
		}
	};

	return {
		clock,
		store,
		network,
		groups,
		proxies,
		orders,
		registerEndpoints,
		setOrderFaults(faults) {
			orderFaults = faults;
		},
		async startProxy(name) {
			const peerAddress = `${name}:7000`;
			const hostPeers = network.addHost(peerAddress);
			const peers = options.wrapPeers?.(hostPeers) ?? hostPeers;
			const hostClock = createHostClock(clock);
			let resolveKilled!: () => void;
			const whenKilled = new Promise<void>(resolve => {
				resolveKilled = resolve;
			});
			const proxy: {-readonly [K in keyof SimulatedProxy]: SimulatedProxy[K]} = {
				name, peerAddress, availabilityZone: `zone-${proxies.length % zoneCount}`, clock: hostClock, cutFrom: new Set(), killed: false, termination: whenKilled, kernel: undefined!,
			};
			links.set(proxy, new Set());
			killResolvers.set(proxy, resolveKilled);
			const earlierStarts = proxies.filter(other => other.name === name).length;
			const client = createStoreClient(proxy);
			proxy.kernel = createProxy({
				clock: hostClock,
				elapsedClock: hostClock,
				random: createSeededRandom(options.seed + proxies.length),
				log: options.log?.withPrefix(`${name} `) ?? createSilentLog(),
				metrics: createPromGatewayMetrics(),
				store: options.wrapStore?.(client, proxy) ?? client,
				orders: {promote: async (order, timeoutMs) => deliver(proxy, processOrder(proxy, order, timeoutMs))},
				opener: createOpener(proxy),
				peers,
				hostName: name,
				availabilityZone: proxy.availabilityZone,
				peerAddress,
				seeds: (options.getSeeds?.() ?? []).map(seed => `${seed}:7000`),
				incarnation: `${name}/${earlierStarts}`,
				revokeWithinMs: options.revokeWithinMs,
				maxLeavingMs: options.maxLeavingMs,
				maxRoutingAgeMs: options.maxRoutingAgeMs,
				placement: options.createPlacement?.(proxy),
				features: options.features,
			});
			proxies.push(proxy);
			await proxy.kernel.start();
			return proxy;
		},
		kill(proxy) {
			cutLinks(proxy);
			terminate(proxy);
		},
		powerOff(proxy) {
			terminate(proxy);
			void clock.sleep(DEAD_CONNECTION_TIMEOUT_MS).then(() => {
				cutLinks(proxy);
			});
		},
		suspend(proxy) {
			proxy.clock.suspend();
			network.pause(proxy.peerAddress);
		},
		resume(proxy) {
			proxy.clock.resume();
			network.resume(proxy.peerAddress);
		},
		stop() {
			for (const group of groups) {
				group.stop();
			}

			for (const proxy of proxies) {
				void proxy.kernel.stop();
			}
		},
	};
}
