import {groupConfigSchema, type GroupConfig} from '../../groups/group-config.js';
import type {StoredGroup} from '../../groups/stored-group.js';
import {createHttpPlatform} from '../../object-store/http-platform.js';
import {ObjectKind, type Platform, type PlatformHost} from '../../object-store/platform.js';
import {createSystemClock} from '../../time/system-clock.js';
import {startManagedProcess, type ManagedProcess} from './child-process.js';
import {findFreePorts} from './free-ports.js';

/** A whole system as processes on loopback: the platform, one process for each database group and one for each proxy. */
export type LocalSystem = {
	readonly platformUrl: string;
	/** A client of the platform's API. */
	readonly platform: Platform;
	readonly proxies: readonly LocalProxy[];
	getGroupOrThrow(name: string): LocalGroup;
	getProxyOrThrow(name: string): LocalProxy;
	/** Replaces the platform's host list. */
	setHosts(hosts: readonly PlatformHost[]): Promise<void>;
	stop(): Promise<void>;
};

/** One proxy of a local system. */
export type LocalProxy = {
	readonly host: PlatformHost;
	readonly callerUrl: string;
	readonly operatorUrl: string;
	readonly process: ManagedProcess;
};

/** One database group of a local system. */
export type LocalGroup = {
	readonly cfg: GroupConfig;
	/** Base URL of the group's fault control. */
	readonly controlUrl: string;
	readonly process: ManagedProcess;
};

/** Options of a local system. */
export type LocalSystemOptions = {
	readonly proxies: number;
	readonly groups: readonly LocalGroupOptions[];
	/** Availability zones, to which proxies are assigned in turn. */
	readonly availabilityZones: readonly string[];
	/** Called with each log line of a daemon. */
	onLine?(proxy: string, line: string): void;
	/** Additional flags of every daemon. */
	readonly flags?: readonly string[];
	/** Called with each process as soon as it exists, so that the processes of an interrupted start can be ended. */
	onSpawned?(managed: ManagedProcess): void;
};

/** Options of a database group to start. */
export type LocalGroupOptions = {
	readonly name: string;
	readonly availabilityZones: readonly string[];
	readonly connections: number;
	readonly slots: number;
	readonly serviceMs?: number;
	readonly lagMs?: number;
	readonly config?: Partial<Omit<GroupConfig, 'name' | 'endpoints'>>;
};

const HOST = '127.0.0.1';
const SIGNING_KEY = 'a signing key for local stand-ins only';
const PEER_KEY = 'a peer key for local stand-ins alone!';
const PORTS_PER_PROXY = 3;
const PLATFORM_TIMEOUT_MS = 5000;
const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

type StartOptions = LocalSystemOptions & Required<Pick<LocalSystemOptions, 'onSpawned'>>;

/** Starts all processes. Resolves once the readiness check of each proxy succeeds; otherwise kills all processes and rejects. */
export async function startLocalSystem(options: LocalSystemOptions): Promise<LocalSystem> {
	const started: ManagedProcess[] = [];
	const onSpawned = (managed: ManagedProcess) => {
		started.push(managed);
		options.onSpawned?.(managed);
	};

	try {
		return await startAll({...options, onSpawned}, started);
	} catch (err) {
		await Promise.all(started.map(async managed => managed.kill()));
		throw err;
	}
}

async function startAll(options: StartOptions, started: readonly ManagedProcess[]): Promise<LocalSystem> {
	const platformUrl = await startPlatform(options);
	const platform = createHttpPlatform({baseUrl: platformUrl, clock: createSystemClock()});
	const groups = await Promise.all(options.groups.map(async group => startGroup(group, platform, options)));
	const proxies = await startProxies(options, platformUrl);
	await Promise.all(proxies.map(async proxy => waitUntilReady(proxy)));

	return {
		platformUrl,
		platform,
		proxies,
		getGroupOrThrow: name => groups.find(group => group.cfg.name === name) ?? throwUnknown(name),
		getProxyOrThrow: name => proxies.find(proxy => proxy.host.name === name) ?? throwUnknown(name),
		setHosts: async hosts => putHosts(platformUrl, hosts),
		async stop() {
			await Promise.all(proxies.map(async proxy => proxy.process.stop()));
			await Promise.all(started.map(async managed => managed.stop()));
		},
	};
}

async function startPlatform({onSpawned}: StartOptions): Promise<string> {
	const {readyLine} = await startManagedProcess({script: 'stand-ins/platform/main.js', isReady: isJson, onSpawned});
	return (JSON.parse(readyLine) as {url: string}).url;
}

async function startGroup(group: LocalGroupOptions, platform: Platform, {onSpawned}: StartOptions): Promise<LocalGroup> {
	const {process, readyLine} = await startManagedProcess({
		script: 'stand-ins/database/main.js',
		args: formatFlags({
			ports: group.availabilityZones.map(() => '0').join(','),
			connections: group.connections,
			slots: group.slots,
			serviceMs: group.serviceMs,
			lagMs: group.lagMs,
		}),
		isReady: isJson,
		onSpawned,
	});
	const ready = JSON.parse(readyLine) as {servers: string[]; control: string};
	const cfg = groupConfigSchema.parse({
		...group.config,
		name: group.name,
		endpoints: ready.servers.map((address, index) => ({
			name: `${group.name}-${index + 1}`,
			address,
			availabilityZone: group.availabilityZones[index],
			connections: group.connections,
			slots: group.slots,
		})),
	});
	const value: StoredGroup = {
		cfg, audit: [], nextArchive: 0, deleted: false,
	};
	await platform.put({
		kind: ObjectKind.Group, name: group.name, value, expectedVersion: 0,
	}, PLATFORM_TIMEOUT_MS);
	return {cfg, controlUrl: ready.control, process};
}

async function startProxies(options: StartOptions, platformUrl: string): Promise<LocalProxy[]> {
	const ports = await findFreePorts(options.proxies * PORTS_PER_PROXY);
	const planned = Array.from({length: options.proxies}, (_, index) => {
		const [callerPort, peerPort, operatorPort] = ports.slice(index * PORTS_PER_PROXY);
		const host: PlatformHost = {
			name: `entry-${index + 1}`,
			role: 'proxy',
			address: `${HOST}:${peerPort}`,
			availabilityZone: options.availabilityZones[index % options.availabilityZones.length]!,
			state: 'live',
		};
		return {
			host, callerPort, peerPort, operatorPort,
		};
	});
	await putHosts(platformUrl, planned.map(({host}) => host));

	return Promise.all(planned.map(async ({host, callerPort, peerPort, operatorPort}) => {
		const {process} = await startManagedProcess({
			script: 'daemon/main.js',
			args: [
				...formatFlags({
					'host-name': host.name,
					'host-address': HOST,
					'availability-zone': host.availabilityZone,
					'caller-port': callerPort,
					'peer-port': peerPort,
					'operator-port': operatorPort,
					'platform-url': platformUrl,
					'signing-keys': SIGNING_KEY,
					'peer-keys': PEER_KEY,
					'endpoint-user': 'aldercroft',
					'endpoint-password': 'stand-in',
				}),
				...options.flags ?? [],
			],
			isReady: line => line.includes('serving'),
			onSpawned: options.onSpawned,
			onLine(line) {
				options.onLine?.(host.name, line);
			},
		});
		return {
			host, callerUrl: `http://${HOST}:${callerPort}`, operatorUrl: `http://${HOST}:${operatorPort}`, process,
		};
	}));
}

async function waitUntilReady(proxy: LocalProxy): Promise<void> {
	const clock = createSystemClock();
	const until = clock.now() + READY_TIMEOUT_MS;
	while (clock.now() < until) {
		const res = await fetch(`${proxy.operatorUrl}/ready`);
		if (res.ok) {
			return;
		}

		await clock.sleep(READY_POLL_MS);
	}

	throw new Error(`${proxy.host.name} was not ready in time`);
}

async function putHosts(platformUrl: string, hosts: readonly PlatformHost[]): Promise<void> {
	const res = await fetch(`${platformUrl}/control/hosts`, {
		method: 'PUT', headers: {'content-type': 'application/json'}, body: JSON.stringify({hosts}),
	});
	if (!res.ok) {
		throw new Error(`the stand-in platform refused the host list: ${await res.text()}`);
	}
}

/** Formats flags as arguments, without those whose value is undefined. */
function formatFlags(flags: Readonly<Record<string, string | number | undefined>>): string[] {
	return Object.entries(flags).flatMap(([name, value]) => value === undefined ? [] : [`--${name}`, String(value)]);
}

function isJson(line: string): boolean {
	return line.startsWith('{');
}

function throwUnknown(name: string): never {
	throw new Error(`the local system has no "${name}"`);
}
