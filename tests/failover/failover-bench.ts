import {expect} from 'chai';
import type {VersionedGroup} from '../../src/configuration/configuration.js';
import {DEFAULT_FAILOVER_SETTINGS, type FailoverSettings} from '../../src/failover/failover-settings.js';
import {type EndpointOrder, groupConfigSchema} from '../../src/groups/group-config.js';
import type {Log} from '../../src/log/log.js';
import type {PlatformHost} from '../../src/object-store/platform.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createDatabaseGroup} from '../../src/stand-ins/database/database-group.js';
import {createDatabaseServer, DEFAULT_SERVER_PARAMETERS, type DatabaseServer} from '../../src/stand-ins/database/database-server.js';
import {createPeerNetwork, type PeerNetwork} from '../../src/stand-ins/peers/in-memory-peers.js';
import {createObjectStore, type ObjectStore} from '../../src/stand-ins/platform/object-store.js';
import {createFaultInjector, type FaultInjector} from '../../src/stand-ins/platform/platform-faults.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {createTestHost, type TestHost} from './test-host.js';

/** A group of three servers in three availability zones and the proxy hosts that own it, on a virtual clock. */
export type FailoverBench = {
	readonly clock: VirtualClock;
	readonly seed: number;
	readonly latencyMs: number;
	readonly log?: Log;
	readonly settings: FailoverSettings;
	readonly network: PeerNetwork;
	readonly store: ObjectStore;
	/** Injects faults of the platform for all hosts. */
	readonly platformFaultInjector: FaultInjector;
	readonly proxies: readonly PlatformHost[];
	readonly servers: readonly DatabaseServer[];
	/** The hosts, the group's owners first in order of rank. */
	readonly hosts: readonly TestHost[];
	/** The configuration in force everywhere; may be replaced. */
	group: VersionedGroup;
	/** Returns the server that is primary at the highest term that any server promised. */
	getPrimary(): DatabaseServer | undefined;
	getServer(endpoint: string): DatabaseServer;
	/** Returns every promotion by any host, in order of term. */
	getPromotions(): ReadonlyArray<{readonly term: number; readonly endpoint: string}>;
	stop(): Promise<void>;
	/** Advances the clock in small steps until the condition holds; resolves with the time that took, and fails after `limitMs`, both in milliseconds. */
	until(condition: () => boolean, limitMs: number, stepMs?: number): Promise<number>;
	/** Changes an endpoint's order as an operator does. */
	order(endpoint: string, order: EndpointOrder): void;
};

/** Options of {@link createFailoverBench}. */
export type BenchOptions = {
	readonly seed?: number;
	/** Whether the servers start without a term. */
	readonly fresh?: boolean;
	/** A server that is down from the start. */
	readonly missing?: string;
	readonly owners?: number;
	readonly hostCount?: number;
	/** Settings that differ from the defaults. */
	readonly settings?: Partial<FailoverSettings>;
	readonly log?: Log;
};

const ZONES = ['lozenets', 'mladost', 'druzhba'];

/** One-way latency between availability zones, in milliseconds. */
const LATENCY_MS = 1.5;

/** Starts a bench and advances its clock until the group is stable. */
export async function createFailoverBench(options: BenchOptions = {}): Promise<FailoverBench> {
	const {seed = 1, fresh = false, owners = 2, hostCount = 3} = options;
	const clock = createVirtualClock();
	const store = createObjectStore({clock});
	const addresses = ['10.0.0.1:5432', '10.0.0.2:5432', '10.0.0.3:5432'];
	const servers = createServers(clock, seed, addresses, fresh);
	const proxies = Array.from({length: hostCount}, (_, i): PlatformHost => ({
		name: `proxy-${i + 1}`, role: 'proxy', address: `10.0.1.${i + 1}:7000`, availabilityZone: ZONES[i % 3]!, state: 'live',
	}));
	store.setHosts(proxies);

	const bench: FailoverBench & {hosts: readonly TestHost[]} = {
		clock,
		seed,
		latencyMs: LATENCY_MS,
		log: options.log,
		settings: {...DEFAULT_FAILOVER_SETTINGS, ...options.settings},
		network: createPeerNetwork(clock, {latencyMs: LATENCY_MS}),
		store,
		platformFaultInjector: createFaultInjector({clock}),
		proxies,
		servers,
		hosts: [],
		group: {
			version: 1, cfg: groupConfigSchema.parse({
				name: 'filings',
				owners,
				endpoints: addresses.map((address, i) => ({
					name: `db-${i + 1}`, address, availabilityZone: ZONES[i], connections: 35, slots: 2,
				})),
			}),
		},
		getPrimary() {
			const highest = Math.max(...servers.map(server => server.member.getStatus().term));
			return servers.find(server => server.member.isPrimaryAt(highest));
		},
		getServer: endpoint => servers[Number(endpoint.slice(-1)) - 1]!,
		getPromotions: () => bench.hosts.flatMap(host => host.promotions).toSorted((left, right) => left.term - right.term),
		async until(condition, limitMs, stepMs = 1) {
			const startedAt = clock.now();
			while (!condition()) {
				expect(clock.now() - startedAt, 'time until the condition holds').to.be.below(limitMs);
				await clock.advance(stepMs);
			}

			return clock.now() - startedAt;
		},
		order(endpoint, order) {
			const endpoints = bench.group.cfg.endpoints.map(each => each.name === endpoint ? {...each, order} : each);
			bench.group = {version: bench.group.version + 1, cfg: {...bench.group.cfg, endpoints}};
		},
		async stop() {
			const stopping = Promise.all(bench.hosts.map(async host => host.stop()));
			await clock.runUntil(stopping);
			for (const server of servers) {
				server.stop();
			}
		},
	};

	if (options.missing) {
		bench.getServer(options.missing).kill();
	}

	// The platform adds no latency and hosts read the list of hosts immediately, so ranks are known before the first step.
	const started = await Promise.all(proxies.map(async (_, i) => clock.runUntil(createTestHost(bench, i))));
	bench.hosts = started.toSorted((left, right) => left.rank - right.rank);
	await clock.advance(3000);
	return bench;
}

function createServers(clock: VirtualClock, seed: number, addresses: readonly string[], fresh: boolean): readonly DatabaseServer[] {
	const random = createSeededRandom(seed);
	if (!fresh) {
		return createDatabaseGroup({addresses, clock, random}).servers;
	}

	const servers = new Map<string, DatabaseServer>();
	for (const address of addresses) {
		servers.set(address, createDatabaseServer({
			address, clock, random, servers, serverParameters: DEFAULT_SERVER_PARAMETERS,
		}));
	}

	return [...servers.values()];
}
