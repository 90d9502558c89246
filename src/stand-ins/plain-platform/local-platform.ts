import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {spawn, type ChildProcess} from 'node:child_process';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {OrderOutcome} from '../../leadership/promotion-orders.js';
import {createSystemClock} from '../../time/system-clock.js';
import {startHttpStoreServer, type HttpStoreServer} from '../metadata-store/http-store-server.js';
import {startLineServer} from '../plain-group/line-server.js';
import {createPlainGroup, type PlainGroup} from '../plain-group/plain-group.js';
import type {PlainObserver} from '../plain-group/plain-server.js';
import {findFreePorts} from '../processes/free-ports.js';

/** A proxy that runs as a process. */
export type LocalProxy = {
	readonly name: string;
	readonly callerPort: number;
	readonly metricsPort: number;
	/** Lines that the proxy has logged. */
	readonly lines: string[];
	/** Sends a signal and resolves with the exit code once the process has ended; undefined where the signal ended it. */
	end(signal: 'SIGTERM' | 'SIGKILL'): Promise<number | undefined>;
};

/** The platform, one database group and proxies on loopback. The proxies are processes; everything else runs in this process. */
export type LocalPlatform = {
	readonly group: PlainGroup;
	readonly store: HttpStoreServer;
	/** Starts a proxy. Resolves once it is ready; rejects where it ends before that or takes too long. */
	startProxy(name: string, options?: LocalProxyOptions): Promise<LocalProxy>;
	/** Ends all proxies and servers, and removes the settings files. */
	stop(): Promise<void>;
};

/** Options of the platform. */
export type LocalPlatformOptions = {
	/** Number of connections that each server accepts; default 22. */
	readonly maxConnections?: number;
};

/** Options of a proxy. */
export type LocalProxyOptions = {
	/** Path of the program; default is the bundle under `target/`. */
	readonly bundle?: string;
	/** Availability zone; default `zone-a`. */
	readonly zone?: string;
};

const DEFAULT_MAX_CONNECTIONS = 22;
const DEFAULT_BUNDLE = 'target/aldercroft-proxy.cjs';
const DEFAULT_ZONE = 'zone-a';

const HOST = '127.0.0.1';
const GROUP = 'nights';
const READY_TIMEOUT_MS = 10_000;
const READY_POLL_MS = 20;

/** Maximum number of tries to start a proxy whose ports are taken by others. */
const MAX_START_TRIES = 5;

/** Databases that callers can open, with the read policy of each. */
const ROUTES = [
	{host: 'sync', type: 'primary'},
	{host: 'review', type: 'bounded', maxStalenessMs: 1500},
	{host: 'roster', type: 'read_your_writes', maxStalenessMs: 2500},
];

/** Starts the platform and the group, without proxies. */
export async function startLocalPlatform(observer: PlainObserver, {maxConnections = DEFAULT_MAX_CONNECTIONS}: LocalPlatformOptions = {}): Promise<LocalPlatform> {
	const clock = createSystemClock();
	const [storePort, ordersPort, ...serverPorts] = await findFreePorts(5) as [number, number, ...number[]];
	const store = await startHttpStoreServer(HOST, storePort);
	const group = createPlainGroup({
		clock, name: GROUP, zones: ['zone-a', 'zone-b', 'zone-c'], observer, maxConnections,
	});
	const lineServers = await Promise.all(group.servers.map(async (server, i) => startLineServer(group, server, {host: HOST, port: serverPorts[i]!, onMalformed: observer.onMalformed})));
	const orders = await startOrderServer(group, ordersPort);
	const folder = mkdtempSync(path.join(tmpdir(), 'aldercroft-local-'));
	const children: ChildProcess[] = [];

	const register = () => {
		for (const [i, server] of group.servers.entries()) {
			if (server.running) {
				store.put('servers', server.id, {
					backend: GROUP,
					address: `${HOST}:${serverPorts[i]}`,
					zone: server.availabilityZone,
					revision: 'v1',
					capacity: 3,
					state: server.leaving ? 'draining' : 'ready',
					sequence: 1,
					coldRemainingMs: 0,
					dbRole: server.role,
				});
			} else {
				store.remove('servers', server.id);
			}
		}
	};

	store.put('config', 'main', {
		revision: 1,
		routes: ROUTES.map(route => ({
			...route, name: `r-${route.host}`, pathPrefix: '/', timeoutMs: 1000, targetLatencyMs: 200, priority: 1, backend: GROUP, maxAttempts: 2,
		})),
		backends: [{name: GROUP, maxConnections, syncReplicas: 0}],
		limits: {txIdleMs: 3000},
	});
	register();
	const registering = setInterval(register, 200);
	group.start();

	const tryToStartProxy = async (name: string, {bundle = DEFAULT_BUNDLE, zone = DEFAULT_ZONE}: LocalProxyOptions): Promise<LocalProxy | undefined> => {
		const [callerPort, readyPort, peerPort, metricsPort] = await findFreePorts(4) as [number, number, number, number];
		const settings = path.join(folder, `${name}.conf`);
		writeFileSync(settings, [
			`nodeName=${name}`,
			`zone=${zone}`,
			`ip=${HOST}`,
			`listen.front=${HOST}:${callerPort}`,
			`listen.readiness=${HOST}:${readyPort}`,
			`listen.control=${HOST}:${peerPort}`,
			'portRange=7440,7455',
			`platform.address=${HOST}:${storePort}`,
			`cloud.address=${HOST}:${ordersPort}`,
			'bounds.graceS=6',
		].join('\n'));
		const child = spawn(process.execPath, [bundle, `--metrics-port=${metricsPort}`], {
			env: {PATH: process.env.PATH, ALDERCROFT_BOOT: settings, ALDERCROFT_PEER_KEYS: 'a key of the local platform alone, 32+'},
			stdio: ['ignore', 'pipe', 'inherit'],
		});
		children.push(child);
		const lines: string[] = [];
		child.stdout.setEncoding('utf8').on('data', (chunk: string) => {
			lines.push(...chunk.split('\n').filter(line => line !== ''));
		});
		if (!await waitUntilReady(readyPort, child, lines)) {
			return undefined;
		}

		return {
			name,
			callerPort,
			metricsPort,
			lines,
			async end(signal) {
				child.kill(signal);
				if (child.exitCode === null && child.signalCode === null) {
					await once(child, 'exit');
				}

				return child.exitCode ?? undefined;
			},
		};
	};

	return {
		group,
		store,
		async startProxy(name, proxyOptions = {}) {
			for (let tries = 0; tries < MAX_START_TRIES; tries++) {
				const proxy = await tryToStartProxy(name, proxyOptions);
				if (proxy) {
					return proxy;
				}
			}

			throw new Error(`the ports of ${name} were taken ${MAX_START_TRIES} times`);
		},
		async stop() {
			clearInterval(registering);
			group.stop();
			for (const child of children) {
				child.kill('SIGKILL');
			}

			for (const server of [store.server, orders]) {
				server.closeAllConnections();
				server.close();
			}

			for (const lineServer of lineServers) {
				lineServer.close();
			}

			rmSync(folder, {recursive: true});
		},
	};
}

async function startOrderServer(group: PlainGroup, port: number) {
	const server = createServer((req, res) => {
		json(req).then(body => {
			const outcome = group.promote((body as {id: string}).id);
			res.writeHead(outcome === OrderOutcome.Accepted ? 200 : 409).end('{}');
		}, () => {
			res.writeHead(400).end('{}');
		});
	});
	server.listen(port, HOST);
	await once(server, 'listening');
	return server;
}

/** Waits until a proxy is ready; resolves with false where it ended because a port was taken between the choice of its ports and its start. */
async function waitUntilReady(port: number, child: ChildProcess, lines: readonly string[]): Promise<boolean> {
	const until = performance.now() + READY_TIMEOUT_MS;
	while (performance.now() < until && child.exitCode === null) {
		const res = await fetch(`http://${HOST}:${port}/ready`).catch(() => undefined);
		if (res?.status === 200) {
			return true;
		}

		await new Promise(resolve => {
			setTimeout(resolve, READY_POLL_MS);
		});
	}

	if (lines.some(line => line.includes('EADDRINUSE'))) {
		return false;
	}

	throw new Error(`the proxy was not ready within ${READY_TIMEOUT_MS} ms, or ended with ${child.exitCode}: ${lines.at(-1)}`);
}
