import {createConfigurationPeers, type ConfigurationPeers} from '../../src/configuration/configuration-peers.js';
import {createConfigurationWatch} from '../../src/configuration/configuration-watch.js';
import {createConfiguration, type ConfigurationState} from '../../src/configuration/create-configuration.js';
import type {GroupEntry} from '../../src/configuration/group-entry.js';
import {groupConfigSchema, type GroupConfig} from '../../src/groups/group-config.js';
import type {StoredGroup} from '../../src/groups/stored-group.js';
import type {Service} from '../../src/kernel/service.js';
import type {Log} from '../../src/log/log.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import type {Peers} from '../../src/peers/peers.js';
import type {PlatformHost} from '../../src/object-store/platform.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryPlatform, type InMemoryPlatform} from '../../src/stand-ins/platform/in-memory-platform.js';
import {createObjectStore} from '../../src/stand-ins/platform/object-store.js';
import {createFaultInjector} from '../../src/stand-ins/platform/platform-faults.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** The parts of one proxy that handle the configuration. */
export type FleetProxy = {
	readonly address: string;
	readonly platform: InMemoryPlatform;
	readonly configuration: ConfigurationState;
	readonly configurationPeers: ConfigurationPeers;
	/** What was logged as an error. */
	readonly errors: readonly string[];
	/** Stops its tasks, as a crash of its process would. */
	stop(): Promise<void>;
	/** Returns every group's version in force, as `a@1 b@2`. */
	show(): string;
};

/** Options of {@link createFleet}. */
export type FleetOptions = {
	readonly size?: number;
	readonly seed?: number;
	/** The proxies know no list of hosts. */
	readonly withoutHosts?: boolean;
};

/** Creates a group's configuration; tests tell versions apart by the read-age limit. */
export const createGroupConfig = (name: string, readAgeLimitMs = 1000): GroupConfig => groupConfigSchema.parse({
	name,
	readAgeLimitMs,
	endpoints: [{
		name: 'e1', address: '127.0.0.1:5432', availabilityZone: 'hall-a', connections: 20, slots: 3,
	}],
});

/** Creates proxies in one process on a virtual clock, with a store, fake links between them, and a record of reverts. */
export const createFleet = ({size = 3, seed = 1, withoutHosts = false}: FleetOptions = {}) => {
	const clock = createVirtualClock();
	const store = createObjectStore({clock});
	const sharedFaultInjector = createFaultInjector({clock});
	const addresses = Array.from({length: size}, (_, index) => `127.0.0.1:${7000 + index}`);
	const handlers = new Map<string, (req: unknown, from: {readonly address: string}) => Promise<unknown>>();
	const cut = new Set<string>();
	const reverts: string[] = [];
	const peerCalls: string[] = [];
	const services: Service[] = [];
	let nextSeed = seed;

	const hosts = addresses.map((address, index): PlatformHost => ({
		name: `h${index}`, role: 'proxy', address, availabilityZone: 'hall-a', state: 'live',
	}));

	const createPeers = (self: string): Peers => ({
		async call(address, kind, req, timeoutMs) {
			peerCalls.push(`${kind} ${self} ${address}`);
			await clock.sleep(1);
			const handler = handlers.get(`${address} ${kind}`);
			if (!handler || cut.has(self) || cut.has(address)) {
				await clock.sleep(timeoutMs);
				return throwPeerSilent(address, kind);
			}

			const res = await handler(structuredClone(req), {address: self});
			return structuredClone(res);
		},
		handle(kind, handler) {
			handlers.set(`${self} ${kind}`, handler);
		},
	});

	const watchReverts = (address: string, configuration: ConfigurationState) => {
		const seen = new Map<string, number>();
		configuration.onChange((name, {version}) => {
			if (version <= (seen.get(name) ?? 0)) {
				reverts.push(`${address}: ${name} from ${seen.get(name)} to ${version}`);
			}

			seen.set(name, version);
		});
	};

	const start = async (index: number): Promise<FleetProxy> => {
		const address = addresses[index]!;
		const random = createSeededRandom(nextSeed++);
		const errors: string[] = [];
		const log = createErrorLog(errors);
		const platform = createInMemoryPlatform({store, clock, sharedFaultInjector});
		const configuration = createConfiguration({log});
		const usable = () => withoutHosts ? [hosts[index]!] : hosts;
		const configurationPeers = createConfigurationPeers({
			configuration, peers: createPeers(address), hosts: {self: hosts[index]!, getUsable: usable}, clock, random, log,
		});
		const watch = createConfigurationWatch({
			configuration, platform, clock, random, log,
		});
		watchReverts(address, configuration);
		services.push(configurationPeers, watch);
		await watch.start?.();
		await configurationPeers.start?.();
		return {
			address, platform, configuration, configurationPeers, errors,
			async stop() {
				await watch.stop?.();
				await configurationPeers.stop?.();
			},
			show: () => showEntries(configuration.getEntries(0)),
		};
	};

	/** Writes a group into the store; returns the version that the writing proxy would offer. */
	const put = (name: string, readAgeLimitMs: number, more: Partial<StoredGroup> = {}) => {
		const value = {
			cfg: createGroupConfig(name, readAgeLimitMs), audit: [], nextArchive: 0, deleted: false, ...more,
		};
		const expectedVersion = store.get('group', name)?.version ?? 0;
		const {version} = store.put({
			kind: 'group', name, value, expectedVersion,
		});
		return {version, cfg: value.cfg};
	};

	return {
		clock, store, sharedFaultInjector, cut, reverts, peerCalls, put, start,
		/** Starts all proxies and lets them load the configuration from the store. */
		async startAll() {
			const proxies = [];
			for (const [index] of addresses.entries()) {
				proxies.push(await start(index));
			}

			await clock.advance(3000);
			return proxies;
		},
		async stop() {
			for (const service of services) {
				await service.stop?.();
			}
		},
	};
};

/** A fleet as a test sees it. */
export type Fleet = ReturnType<typeof createFleet>;

const showEntries = (entries: readonly GroupEntry[]) =>
	entries.map(({name, version, deleted}) => `${name}@${version}${deleted ? ' deleted' : ''}`).join(' ');

const createErrorLog = (errors: string[], prefix = ''): Log => ({
	debug() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	info() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	warn() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	error(sentence, fields) {
		errors.push(`${prefix}${sentence} ${JSON.stringify(fields)}`);
	},
	withPrefix: part => createErrorLog(errors, prefix + part),
});
