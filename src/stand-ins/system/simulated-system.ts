import {createSilentLog} from '../../log/silent-log.js';
import {createKernel, type Kernel} from '../../kernel/kernel.js';
import {type GroupConfig, groupConfigSchema} from '../../groups/group-config.js';
import type {StoredGroup} from '../../groups/stored-group.js';
import type {Endpoints} from '../../endpoints/endpoint.js';
import type {FailoverHooks} from '../../failover/failover-hooks.js';
import type {LivePeers} from '../../peers/create-peers.js';
import {ObjectKind, type PlatformHost} from '../../object-store/platform.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {registerServices} from '../../daemon/register-services.js';
import type {Settings} from '../../settings/settings.js';
import type {Clock} from '../../time/clock.js';
import {createDatabaseGroup, type DatabaseGroup} from '../database/database-group.js';
import type {DatabaseServerParameters} from '../database/database-server.js';
import {createInMemoryEndpoints, type InMemoryEndpoints} from '../database/in-memory-endpoints.js';
import {createPeerNetwork, type PeerNetwork} from '../peers/in-memory-peers.js';
import {createInMemoryPlatform, type InMemoryPlatform} from '../platform/in-memory-platform.js';
import {createObjectStore, type ObjectStore} from '../platform/object-store.js';
import {createFaultInjector, type FaultInjector} from '../platform/platform-faults.js';
import {createVirtualClock, type VirtualClock} from '../time/virtual-clock.js';

/** One proxy of a simulated system, with its own clients of the platform, the servers and its peers, on which faults can be set. */
export type SimulatedProxy = {
	readonly name: string;
	readonly address: string;
	readonly kernel: Kernel;
	readonly platform: InMemoryPlatform;
	readonly endpoints: InMemoryEndpoints;
	readonly peers: LivePeers;
};

/** Proxies, database groups and a platform in one process, on one virtual clock. */
export type SimulatedSystem = {
	readonly clock: VirtualClock;
	readonly store: ObjectStore;
	/** Faults of the platform that affect all proxies. */
	readonly platformGate: FaultInjector;
	readonly network: PeerNetwork;
	readonly proxies: readonly SimulatedProxy[];
	getProxyOrThrow(name: string): SimulatedProxy;
	getGroupOrThrow(name: string): DatabaseGroup;
	/** Stores a group's configuration, as an operator's change does. */
	configure(cfg: GroupConfig): void;
	/** Starts every proxy and resolves after a startup time of 3 s. */
	start(): Promise<void>;
	/** Stops a proxy as its daemon does after its callers have moved to other proxies: hands over its groups and drains its open transactions. */
	leave(name: string): Promise<void>;
	/** Ends a proxy's host: its links break, its connections to servers go silent, and nothing that it sends arrives. */
	kill(name: string): void;
	stop(): Promise<void>;
};

/** A database group of a simulated system. */
export type SimulatedGroup = {
	readonly name: string;
	/** Availability zones, one for each server. */
	readonly availabilityZones: readonly string[];
	readonly config?: Partial<Omit<GroupConfig, 'name' | 'endpoints'>>;
	readonly serverParameters?: Partial<DatabaseServerParameters>;
};

/** Options of a simulated system. */
export type SimulatedSystemOptions = {
	readonly proxies: number;
	readonly groups: readonly SimulatedGroup[];
	readonly availabilityZones: readonly string[];
	readonly seed?: number;
	/** One-way latency between hosts, and between hosts and servers, in milliseconds; default 1. */
	readonly latencyMs?: number;
	/** Wraps each proxy's access to the servers. */
	wrapEndpoints?(endpoints: Endpoints, clock: Clock): Endpoints;
	/** Wraps each proxy's calls to its peers. */
	wrapPeers?(peers: LivePeers): LivePeers;
	/** Changes to the product's failover, and an observer of promotions. */
	readonly failoverHooks?: FailoverHooks;
};

const SIGNING_KEY = 'a signing key for simulated systems only';
const PEER_KEY = 'a peer key for simulated systems alone';

/** Maximum time for each step of a proxy's leaving, in milliseconds. */
const LEAVE_TIMEOUT_MS = 8000;

/** Interval at which a leaving proxy checks for open transactions, in milliseconds. */
const LEAVE_POLL_MS = 20;

/** Time for a started system to become ready, in milliseconds. */
const STARTUP_MS = 3000;

/** Creates a system, which does nothing before it is started. */
export function createSimulatedSystem(options: SimulatedSystemOptions): SimulatedSystem {
	const latencyMs = options.latencyMs ?? 1;
	const clock = createVirtualClock();
	const seed = options.seed ?? 1;
	const store = createObjectStore({clock});
	const platformGate = createFaultInjector({clock});
	const network = createPeerNetwork(clock, {latencyMs, peerKeys: [PEER_KEY]});
	const groups = new Map<string, DatabaseGroup>();

	const configure = (cfg: GroupConfig) => {
		const current = store.get(ObjectKind.Group, cfg.name);
		const value: StoredGroup = {
			cfg, audit: [], nextArchive: 0, deleted: false,
		};
		store.put({
			kind: ObjectKind.Group, name: cfg.name, value, expectedVersion: current?.version ?? 0,
		});
	};

	for (const [index, group] of options.groups.entries()) {
		const cfg = createGroupConfig(group, index);
		groups.set(group.name, createDatabaseGroup({
			addresses: cfg.endpoints.map(({address}) => address),
			clock,
			random: createSeededRandom(seed + 100 + index),
			serverParameters: {...group.serverParameters, connections: cfg.endpoints[0]?.connections, slots: cfg.endpoints[0]?.slots},
		}));
		configure(cfg);
	}

	const createProxy = (host: PlatformHost, index: number): SimulatedProxy => {
		const kernel = createKernel();
		const peers = network.addHost(host.address);
		const platform = createInMemoryPlatform({store, clock, sharedFaultInjector: platformGate});
		const servers = [...groups.values()].flatMap(group => group.servers);
		const endpoints = createInMemoryEndpoints(servers, {clock, latencyMs, host: host.name});
		kernel.register('clock', clock);
		kernel.register('random', createSeededRandom(seed + index));
		kernel.register('log', createSilentLog());
		kernel.register('settings', createSettings(host));
		kernel.register('platform', platform);
		kernel.register('peers', options.wrapPeers?.(peers) ?? peers);
		kernel.register('failoverHooks', options.failoverHooks ?? {});
		kernel.register('endpoints', options.wrapEndpoints?.(endpoints, clock) ?? endpoints);
		registerServices(kernel);
		return {
			name: host.name, address: host.address, kernel, platform, endpoints, peers,
		};
	};

	const hosts = createHostList(options);
	store.setHosts(hosts);
	const proxies = hosts.map((host, index) => createProxy(host, index));

	return {
		clock,
		store,
		platformGate,
		network,
		proxies,
		configure,
		getProxyOrThrow(name) {
			return proxies.find(proxy => proxy.name === name) ?? throwUnknown(name);
		},
		getGroupOrThrow(name) {
			return groups.get(name) ?? throwUnknown(name);
		},
		async start() {
			await Promise.all(proxies.map(async ({kernel}) => kernel.start()));
			await clock.advance(STARTUP_MS);
		},
		async leave(name) {
			const {kernel, address} = proxies.find(proxy => proxy.name === name) ?? throwUnknown(name);
			const transactions = kernel.getOrThrow('transactions');
			await kernel.getOrThrow('owners').leave(LEAVE_TIMEOUT_MS);
			for (const until = clock.now() + LEAVE_TIMEOUT_MS; transactions.getOpenCount() > 0 && clock.now() < until;) {
				await clock.sleep(LEAVE_POLL_MS);
			}

			await kernel.stop();
			network.kill(address);
		},
		kill(name) {
			const {address} = proxies.find(proxy => proxy.name === name) ?? throwUnknown(name);
			network.kill(address);
			for (const server of [...groups.values()].flatMap(group => group.servers)) {
				server.silenceConnections(name);
				server.faults.cut([name]);
			}
		},
		async stop() {
			await clock.runUntil(Promise.all(proxies.map(async ({kernel}) => kernel.stop())));
			for (const group of groups.values()) {
				group.stop();
			}
		},
	};
}

function createHostList({proxies, availabilityZones}: SimulatedSystemOptions): PlatformHost[] {
	return Array.from({length: proxies}, (_, index) => ({
		name: `entry-${index + 1}`,
		role: 'proxy',
		address: `10.0.0.${index + 1}:7000`,
		availabilityZone: availabilityZones[index % availabilityZones.length]!,
		state: 'live',
	}));
}

function createGroupConfig(group: SimulatedGroup, index: number): GroupConfig {
	return groupConfigSchema.parse({
		...group.config,
		name: group.name,
		endpoints: group.availabilityZones.map((availabilityZone, server) => ({
			name: `${group.name}-${server + 1}`,
			address: `10.1.${index}.${server + 1}:5432`,
			availabilityZone,
			connections: group.serverParameters?.connections ?? 20,
			slots: group.serverParameters?.slots ?? 3,
		})),
	});
}

function createSettings(host: PlatformHost): Settings {
	const [hostAddress = '', peerPort = ''] = host.address.split(':');
	return {
		hostName: host.name,
		hostAddress,
		availabilityZone: host.availabilityZone,
		callerPort: 8080,
		peerPort: Number(peerPort),
		operatorPort: 9090,
		platformUrl: 'http://platform.invalid',
		signingKeys: [SIGNING_KEY],
		peerKeys: [PEER_KEY],
		endpointUser: 'aldercroft',
		endpointPassword: 'unused',
		endpointDatabase: 'aldercroft',
		// Not the hash of any existing token; its presence permits commands in the name of the bootstrap operator.
		bootstrapTokenHash: '0'.repeat(64),
		logLevel: 'info',
		shutdownMs: 10_000,
		leaveNoticeMs: 1000,
	};
}

function throwUnknown(name: string): never {
	throw new Error(`the simulated system has no "${name}"`);
}
