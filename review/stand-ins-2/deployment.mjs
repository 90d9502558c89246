import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {startGroup} from './group.mjs';
import {startCloud, startLink, startStore} from './platform.mjs';
import {sleep} from './wire.mjs';

const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;

/** Time for which all proxies run before traffic begins, in milliseconds, as at a small site. */
export const LEAD_MS = 12_000;

/** The names of databases that callers open, with the read policy of each. */
const ROUTES = [
	{
		host: 'sync', type: 'primary', timeoutMs: 1000, targetLatencyMs: 200, priority: 1,
	},
	{
		host: 'review', type: 'bounded', timeoutMs: 2000, targetLatencyMs: 600, priority: 2, maxStalenessMs: 1500,
	},
	{
		host: 'roster', type: 'read_your_writes', timeoutMs: 1000, targetLatencyMs: 400, priority: 2, maxStalenessMs: 2500,
	},
];

/** The loopback addresses of a run: runs beside each other use different ones. */
const NETWORK = `127.${10 + (process.pid % 200)}`;

/** The service's name. */
const SERVICE = 'sleeplog';

const SERVER_SETTINGS = {
	syncReplicas: 0, slots: 3, queue: 24, maxConnections: 22, workMs: 8, lagMs: 20, promoteMs: 1000, heartbeatMs: 1200,
};

/** Bounds of the small sites. */
const BOUNDS = {
	seedLagS: 3,
	reuseAfterS: 2,
	stableWindowMs: 4000,
	ackMs: 5000,
	catchUpS: 4,
	drainMs: 7000,
	graceS: 6,
	lossSlackMs: 200,
	configApplyMs: 3000,
	rollbackSlackMs: 250,
	maxSkewMs: 12_000,
	recoveryS: 12,
	requireFencing: false,
	thawSlackMs: 300,
};

/** Further bounds of a site whose callers have keys. */
const TENANT_BOUNDS = {
	revokeStrict: true, revokeMs: 5000, quotaWindowS: 5, quotaOverage: 0.1, quotaSlack: 20,
};

/** Opens the record of a run: each line starts with the milliseconds since its start. */
export function openRecord(file) {
	const stream = createWriteStream(file);
	const startedAt = performance.now();
	return {
		record(text) {
			if (!stream.writableEnded) {
				stream.write(`${Math.round(performance.now() - startedAt)} ${text}\n`);
			}
		},
		async close() {
			stream.end();
			await once(stream, 'finish');
		},
	};
}

async function findFreePort(host) {
	const server = createServer();
	server.listen(0, host);
	await once(server, 'listening');
	const {port} = server.address();
	server.close();
	await once(server, 'close');
	return port;
}

async function findFreePorts(host, count) {
	const ports = new Set();
	while (ports.size < count) {
		ports.add(await findFreePort(host));
	}

	return [...ports];
}

/** Returns the words of the deploy file's command and its variables. */
function readCommand() {
	const text = readFileSync('deploy/system.toml', 'utf8');
	const [, run] = /^run = "(?<words>.*)"$/mv.exec(text);
	const [, variables = ''] = /^env = \{(?<variables>.*)\}$/mv.exec(text) ?? [];
	const env = Object.fromEntries([...variables.matchAll(/(?<name>\w+) = "(?<value>[^"]*)"/gv)].map(({groups}) => [groups.name, groups.value]));
	return {words: run.split(' '), env};
}

/**
 * Starts a small deployment on loopback: the store, the service for promotions and three servers of one service in this process, and proxies as processes, each at an
 * address of its own. Resolves once all proxies are ready.
 */
export async function startDeployment({proxies: proxyCount, record, onPromoted = () => undefined, onRead = () => undefined, group: groupSettings = {}, bounds = {}, tenants, storeLinkMbps}) {
	const settings = {...SERVER_SETTINGS, ...groupSettings};
	const platformHost = `${NETWORK}.90.1`;
	const [storePort, cloudPort] = await findFreePorts(platformHost, 2);
	const store = await startStore(platformHost, storePort);
	const places = await Promise.all(['a', 'b', 'c'].map(async (letter, i) => {
		const host = `${NETWORK}.91.${i + 1}`;
		return {
			id: `i-${letter}${i}7f3a91c`, host, port: await findFreePort(host), zone: `hall-${letter}`,
		};
	}));
	const group = await startGroup({
		name: SERVICE, servers: places, store, record, onPromoted, onRead, settings,
	});
	const cloud = await startCloud(platformHost, cloudPort, {promote: group.promote, record});
	store.put('config', 'main', {
		revision: 7,
		routes: ROUTES.map(route => ({
			...route, name: `r-${route.host}`, pathPrefix: '/', backend: SERVICE, maxAttempts: 2, ...(tenants && {allowAnonymous: false}),
		})),
		backends: [{
			name: SERVICE, healthPath: '/health', maxConnections: settings.maxConnections, protocol: 'h1', tls: false, syncReplicas: settings.syncReplicas,
		}],
		...(tenants && {tenants}),
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000, txIdleMs: 3000,
		},
	});
	const folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
	const command = readCommand();
	const [front, readiness, control] = await findFreePorts(`${NETWORK}.92.1`, 3);
	const seeds = Array.from({length: Math.min(3, proxyCount)}, (_, i) => `${NETWORK}.92.${i + 1}:${control}`);

	const proxies = Array.from({length: proxyCount}, (_, i) => {
		const host = `${NETWORK}.92.${i + 1}`;
		const zone = `hall-${'abc'[i % 3]}`;
		return {
			name: `front-${zone}-${i + 1}`, host, port: front, zone, child: undefined,
		};
	});

	const linkTarget = {targetHost: platformHost, targetPort: storePort, mbps: storeLinkMbps};
	const links = storeLinkMbps === undefined ? [] : await Promise.all(proxies.map(async ({host}) => startLink(host, storePort, linkTarget)));

	const writeSettings = ({name, host, zone}, isFirstStart) => {
		const file = path.join(folder, `${name}.conf`);
		writeFileSync(file, [
			`nodeName=${name}`,
			'role=proxy',
			'machineClass=front',
			'serves=front,control',
			`ip=${host}`,
			`zone=${zone}`,
			'region=new-england',
			...['a', 'b', 'c'].map(letter => `zones.hall-${letter}=new-england`),
			`listen.front=${host}:${front}`,
			`listen.readiness=${host}:${readiness}`,
			`listen.control=${host}:${control}`,
			'portRange=7440,7455',
			`seeds=${seeds.join(',')}`,
			`bootstrap=${isFirstStart}`,
			'countsAsLoss=false',
			'limits.cpuShare=0.675',
			'limits.cores=1',
			'limits.memoryMb=350',
			'limits.maxFds=4200',
			`limits.linkMbps=${storeLinkMbps ?? 1000}`,
			'limits.diskMb=0',
			'discovery=platform',
			'entry=vip',
			`heartbeatMs=${settings.heartbeatMs}`,
			`contracts=base,drain,config,cost,recover,sql,${tenants ? 'tenants,quota,' : ''}platform`,
			'faultTolerance.machines=2',
			'faultTolerance.zones=0',
			'faultTolerance.regions=0',
			...Object.entries({...BOUNDS, ...(tenants && TENANT_BOUNDS), ...bounds}).map(([bound, value]) => `bounds.${bound}=${value}`),
			`platform.address=${storeLinkMbps === undefined ? platformHost : host}:${storePort}`,
			'platform.form=objects',
			'platform.writesPerS=400',
			'platform.readsPerS=2000',
			'platform.historyS=20',
			'platform.maxValueBytes=1048576',
			'platform.minTtlMs=1000',
			`cloud.address=${platformHost}:${cloudPort}`,
			'cloud.ratePerS=50.0',
			'cloud.duties=failover',
			'cloud.dutyPerS=50.0',
			'',
		].join('\n'));
		return file;
	};

	const startProxy = async (proxy, isFirstStart) => {
		const file = writeSettings(proxy, isFirstStart);
		const [program, ...words] = command.words;
		proxy.child = spawn(program, words, {
			env: {PATH: process.env.PATH, ...command.env, ALDERCROFT_BOOT: file},
			stdio: ['ignore', openLog(proxy), 'inherit'],
		});
		proxy.child.once('exit', (code, signal) => {
			record(`${proxy.name} has ended with ${code ?? signal}`);
		});
		await whenReady(proxy);
	};

	/** Opens the file for what a proxy logs, in the folder that the variable LOGS names. */
	const openLog = ({name}) => process.env.LOGS ? openSync(path.join(process.env.LOGS, `${name}.log`), 'a') : 'ignore';

	const whenReady = async ({host, child, name}) => {
		const until = performance.now() + READY_TIMEOUT_MS;
		while (performance.now() < until && child.exitCode === null) {
			const res = await fetch(`http://${host}:${readiness}/ready`).catch(() => undefined);
			if (res?.status === 200) {
				return;
			}

			await sleep(READY_POLL_MS);
		}

		throw new Error(`${name} was not ready within ${READY_TIMEOUT_MS} ms`);
	};

	// Ends the proxies also where the run itself is ended early.
	process.once('exit', () => {
		for (const {child} of proxies) {
			child?.kill('SIGKILL');
		}
	});
	for (const signal of ['SIGINT', 'SIGTERM']) {
		process.once(signal, () => {
			process.exit(2);
		});
	}

	const endChild = async ({child}) => {
		if (child && child.exitCode === null && child.signalCode === null) {
			child.kill('SIGKILL');
			await once(child, 'exit');
		}
	};

	const stop = async () => {
		await Promise.all(proxies.map(async proxy => endChild(proxy)));
		group.stop();
		cloud.stop();
		for (const link of links) {
			link.stop();
		}

		store.stop();
		rmSync(folder, {recursive: true, force: true});
	};

	try {
		await Promise.all(proxies.map(async proxy => startProxy(proxy, true)));
	} catch (err) {
		await stop();
		throw err;
	}

	return {
		store, group, proxies, routes: ROUTES, service: SERVICE, stop,
		async restartProxy(proxy) {
			await startProxy(proxy, false);
		},
	};
}
