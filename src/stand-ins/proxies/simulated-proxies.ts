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
	/** Ids of servers that it cannot reach. */
	readonly cutFrom: Set<string>;
	killed: boolean;
	/** Resolves once it is killed. */
	readonly death: Promise<void>;
};

/** Proxies, database groups and the platform, all on one virtual clock. */
export type SimulatedProxies = {
	readonly clock: VirtualClock;
	readonly store: InMemoryMetadataStore;
	readonly network: PeerNetwork;
	readonly groups: readonly PlainGroup[];
	readonly proxies: readonly SimulatedProxy[];
	/** Orders in the order of their arrival. */
	readonly orders: readonly PromotionOrder[];
	/** Starts a proxy, or starts it anew after it was killed. */
	startProxy(name: string): Promise<SimulatedProxy>;
	/** Ends a proxy's process at once: nothing of it reaches anything any more. */
	kill(proxy: SimulatedProxy): void;
	/** Takes a proxy's host its power: it is gone like a killed one, but servers keep its connections for 3 s, since nobody told them. */
	powerOff(proxy: SimulatedProxy): void;
	suspend(proxy: SimulatedProxy): void;
	resume(proxy: SimulatedProxy): void;
	/** Registers the groups' servers as they are. */
	registerEndpoints(): void;
	/** Sets what goes wrong with orders to promote from now on; nothing without it. */
	setOrderTrouble(trouble?: OrderTrouble): void;
	stop(): void;
};

/** What goes wrong with orders to promote. */
export type OrderTrouble = {
	/** Longest way to the platform, in milliseconds. */
	readonly delayMs: number;
	/** Share of orders that are taken without an answer. */
	readonly loseShare: number;
};

/** What a simulated system is made of. */
export type SimulatedProxiesOptions = {
	readonly clock: VirtualClock;
	readonly seed: number;
	readonly groups: ReadonlyArray<Omit<PlainGroupOptions, 'clock'>>;
	readonly routes: readonly Route[];
	readonly workspaces?: readonly Workspace[];
	/** Time after which hosts may not honour a revoked key, in milliseconds. */
	readonly revokeWithinMs?: number;
	readonly log?: Log;
	/** Longest way of an order to the platform, in milliseconds. */
	readonly orderMs?: number;
	/** Availability zones that hosts are spread over, `zone-0` and on; default 3. */
	readonly zoneCount?: number;
	/** How hosts choose where reads run, in place of the product's way. */
	createPlacement?(proxy: SimulatedProxy): ReadPlacement;
	/** What stands between a proxy and the store; for trials of other ways. */
	wrapStore?(store: MetadataStore, proxy: SimulatedProxy): MetadataStore;
	/** What stands between a proxy and its peers. */
	wrapPeers?(peers: LivePeers): LivePeers;
};

const DEFAULT_ORDER_MS = 10;

/** A server drops a connection whose remote end is gone after so long, in milliseconds. */
const KEEP_DEAD_MS = 3000;

const DEFAULT_ZONES = 3;

/** What a killed host awaits. */
const NEVER = new Promise<never>(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function

/** Creates a system without proxies. */
export function createSimulatedProxies(options: SimulatedProxiesOptions): SimulatedProxies {
	const {clock, zoneCount = DEFAULT_ZONES} = options;
	const random = createSeededRandom(options.seed);
	const store = createInMemoryMetadataStore(clock, random);
	const network = createPeerNetwork(clock);
	const groups = options.groups.map(group => createPlainGroup({...group, clock}));
	const proxies: SimulatedProxy[] = [];
	const orders: PromotionOrder[] = [];

	const deaths = new Map<SimulatedProxy, () => void>();

	/** What the end of a host closes. */
	const links = new Map<SimulatedProxy, Set<EndpointLink>>();

	const routing: Routing = {
		version: 1,
		routes: new Map(options.routes.map(route => [route.database, route])),
		groups: new Map(options.groups.map(group => [group.name, {name: group.name, maxConnections: group.maxConnections ?? 22}])),
		workspaces: new Map(options.workspaces?.map(workspace => [workspace.name, workspace])),
		idleTransactionMs: 3000,
	};

	const registerEndpoints = () => {
		store.setEndpoints(groups.flatMap(group => group.servers.filter(({running}) => running).map((server): RegisteredEndpoint => ({
			id: formatEndpointId(server.id, server.life === 0 ? undefined : server.life),
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

	/** What reaches a host while it is suspended waits; what a killed host awaits never comes. */
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

	const createClient = (proxy: SimulatedProxy): MetadataStore => {
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

	let orderTrouble: OrderTrouble | undefined;

	/** An order that is not there when its sender gives it up comes no more: the sender ends the connection. */
	const takeOrder = async (proxy: SimulatedProxy, order: PromotionOrder, timeoutMs: number) => {
		const wayMs = random.fraction() * (orderTrouble?.delayMs ?? options.orderMs ?? DEFAULT_ORDER_MS);
		const isLost = orderTrouble !== undefined && random.fraction() < orderTrouble.loseShare;
		await clock.sleep(Math.min(wayMs, timeoutMs));
		if (proxy.killed) {
			return NEVER;
		}

		if (wayMs >= timeoutMs) {
			return OrderOutcome.Unknown;
		}

		orders.push(order);
		const outcome = groups.find(({name}) => name === order.group)?.promote(order.endpointId) ?? OrderOutcome.Refused;
		if (isLost) {
			await clock.sleep(timeoutMs - wayMs);
			return OrderOutcome.Unknown;
		}

		return outcome;
	};

	const end = (proxy: SimulatedProxy) => {
		(proxy as {killed: boolean}).killed = true;
		deaths.get(proxy)!();
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
		setOrderTrouble(trouble) {
			orderTrouble = trouble;
		},
		async startProxy(name) {
			const peerAddress = `${name}:7000`;
			const own = network.addHost(peerAddress);
			const peers = options.wrapPeers?.(own) ?? own;
			const hostClock = createHostClock(clock);
			let die!: () => void;
			const death = new Promise<void>(resolve => {
				die = resolve;
			});
			const proxy: {-readonly [K in keyof SimulatedProxy]: SimulatedProxy[K]} = {
				name, peerAddress, availabilityZone: `zone-${proxies.length % zoneCount}`, clock: hostClock, cutFrom: new Set(), killed: false, death, kernel: undefined!,
			};
			links.set(proxy, new Set());
			deaths.set(proxy, die);
			const life = proxies.filter(other => other.name === name).length;
			const client = createClient(proxy);
			proxy.kernel = createProxy({
				clock: hostClock,
				elapsedClock: hostClock,
				random: createSeededRandom(options.seed + proxies.length),
				log: options.log?.withPrefix(`${name} `) ?? createSilentLog(),
				metrics: createPromGatewayMetrics(),
				store: options.wrapStore?.(client, proxy) ?? client,
				orders: {promote: async (order, timeoutMs) => deliver(proxy, takeOrder(proxy, order, timeoutMs))},
				opener: createOpener(proxy),
				peers,
				hostName: name,
				availabilityZone: proxy.availabilityZone,
				peerAddress,
				seeds: [],
				incarnation: `${name}/${life}`,
				revokeWithinMs: options.revokeWithinMs,
				placement: options.createPlacement?.(proxy),
			});
			proxies.push(proxy);
			await proxy.kernel.start();
			return proxy;
		},
		kill(proxy) {
			cutLinks(proxy);
			end(proxy);
		},
		powerOff(proxy) {
			end(proxy);
			void clock.sleep(KEEP_DEAD_MS).then(() => {
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
