// A stopping failover coordinator keeps the primaries of other databases from being replaced before they end. See claim.txt.
import {once} from 'node:events';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createServer as createHttpServer} from 'node:http';
import {connect, createServer} from 'node:net';
import {spawn} from 'node:child_process';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {fileURLToPath} from 'node:url';
import {startHttpStoreServer} from '../../dist/stand-ins/metadata-store/http-store-server.js';
import {startLineServer} from '../../dist/stand-ins/plain-group/line-server.js';
import {createPlainGroup} from '../../dist/stand-ins/plain-group/plain-group.js';
import {getOutcome, openWireCaller} from '../../dist/stand-ins/plain-platform/wire-caller.js';
import {findFreePorts} from '../../dist/stand-ins/processes/free-ports.js';
import {createSystemClock} from '../../dist/time/system-clock.js';

const root = fileURLToPath(new URL('../..', import.meta.url));
const recordPath = fileURLToPath(new URL('record.txt', import.meta.url));
const withTrouble = process.env.TROUBLE !== '0';
const BROKEN_EXIT_CODE = 10;
const HOST = '127.0.0.1';

/** The commands and the environment of the deploy file. */
const RUN = ['target/aldercroft-proxy.cjs', '--metrics-port=9464'];
const PEER_KEYS = 'replace-this-key-where-others-share-the-network-0123456789abcdef';

/** A small deployment, with the figures of granite-sleep. */
const ZONES = ['hall-a', 'hall-b', 'hall-c', 'hall-d'];
const PROXIES = ['hall-a', 'hall-a', 'hall-a', 'hall-b', 'hall-b', 'hall-c', 'hall-c', 'hall-d', 'hall-d'];
const GROUPS = ['nights', 'rosters', 'bands'];
const CONNECTIONS = 22;
const PROMOTE_MS = 1000;
const REPLICA_LAG_MS = 20;
const HEARTBEAT_MS = 1200;
const THAW_SLACK_MS = 300;

const DRAIN_MS = 7000;
const GRACE_MS = 6000;
const STABLE_WINDOW_MS = 4000;
/** Maximum time from a write's arrival at its server until it has run, in milliseconds: it takes 8 and waits for a slot. */
const ARRIVAL_MARGIN_MS = 50;
/** How much longer than `drainMs` a draining server serves before it exits, in milliseconds. */
const EXIT_AFTER_MS = 500;
/** Time from the coordinator's write to the store until it is told to stop, in milliseconds. */
const STOP_AFTER_MARK_MS = 200;

const clock = createSystemClock();
const startedAt = clock.now();
const record = [];
const children = [];
const sleep = async ms => clock.sleep(ms);
const note = (text, at = clock.now()) => {
	record.push(`${((at - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
};

const waitFor = async (what, ms, getValue) => {
	for (const until = clock.now() + ms; clock.now() < until; await sleep(10)) {
		const value = getValue();
		if (value !== undefined && value !== false) {
			return value;
		}
	}

	throw new Error(`waited ${ms} ms in vain: ${what}`);
};

/** Leaves out the header of the project's own store stand-in that the published pages do not have. */
function dropUnpublishedHeader(store) {
	store.server.prependListener('request', (_req, res) => {
		const writeHead = res.writeHead.bind(res);
		res.writeHead = status => writeHead(status, {'content-type': 'application/json'});
	});
}

/** The platform's service that promotes servers. It does not check the fence. */
async function startOrders(groups, orders) {
	const server = createHttpServer((req, res) => {
		json(req).then(({backend, id}) => {
			const outcome = groups.get(backend).promote(id);
			const order = {
				at: clock.now(), holder: req.headers['x-aldercroft-lease-holder'], token: Number(req.headers['x-aldercroft-fencing-token']), backend, id, outcome,
			};
			orders.push(order);
			note(`the platform receives an order: ${order.holder}, token ${order.token}, promote ${id} of ${backend}: ${outcome}`);
			res.writeHead(outcome === 'accepted' ? 200 : 409).end('{}');
		}, () => {
			res.writeHead(400).end('{}');
		});
	});
	server.keepAliveTimeout = 60_000;
	server.listen(0, HOST);
	await once(server, 'listening');
	return server;
}

/** Starts the servers of a group. The last two are the new servers of a release and do not run at first. */
async function startGroup(name, {
	store, commits, promotions, drainedAt,
}) {
	const group = createPlainGroup({
		clock,
		name,
		zones: ['hall-a', 'hall-b', 'hall-c', 'hall-a', 'hall-b'],
		promoteMs: PROMOTE_MS,
		lagMs: REPLICA_LAG_MS,
		maxConnections: CONNECTIONS,
		slots: 3,
		serviceMs: 8,
		observer: {
			onRead() {},
			onCommit(commit, server, id) {
				commits.push({
					at: clock.now(), id, server, group: name, term: commit.term,
				});
			},
			onPromoted(server) {
				promotions.push({at: clock.now(), server, group: name});
				note(`${server.id} leads ${name} in term ${server.term}`);
			},
		},
	});
	const ports = await findFreePorts(group.servers.length);
	const listeners = await Promise.all(group.servers.map(async (server, i) => startLineServer(group, server, HOST, ports[i])));
	for (const server of group.servers.slice(3)) {
		server.running = false;
	}

	let sequence = 0;
	const put = (server, i) => {
		store.put('servers', server.id, {
			backend: name,
			address: `${HOST}:${ports[i]}`,
			zone: server.availabilityZone,
			revision: 'v1',
			capacity: 3,
			state: server.leaving ? 'draining' : 'ready',
			coldRemainingMs: 0,
			sequence,
			dbRole: server.role,
		});
	};

	/** Each server writes its entry at an interval, and at once where its state or role has changed. */
	const last = new Map();
	const register = () => {
		for (const [i, server] of group.servers.entries()) {
			const state = `${server.leaving} ${server.role}`;
			const known = last.get(server);
			if (server.running && (known?.state !== state || clock.now() - known.at >= HEARTBEAT_MS)) {
				sequence++;
				last.set(server, {state, at: clock.now()});
				put(server, i);
				if (server.leaving && !drainedAt.has(server.id)) {
					drainedAt.set(server.id, clock.now());
				}
			}
		}
	};

	register();
	const registering = setInterval(register, 20);
	group.start();
	return {
		group,
		stop() {
			clearInterval(registering);
			group.stop();
			for (const listener of listeners) {
				listener.close();
			}
		},
	};
}

async function startProxy(index, {storePort, ordersPort, folder, seeds, controlPorts}) {
	const name = `front-${PROXIES[index]}-${index + 1}`;
	const ip = `127.0.1.${index + 1}`;
	const [front, readiness] = await findFreePorts(2);
	const settings = path.join(folder, `${name}.conf`);
	writeFileSync(settings, [
		`nodeName=${name}`,
		'role=proxy',
		'machineClass=front',
		'serves=front,control',
		`ip=${ip}`,
		`zone=${PROXIES[index]}`,
		'region=new-england',
		...ZONES.map(zone => `zones.${zone}=new-england`),
		`listen.front=${ip}:${front}`,
		`listen.readiness=${ip}:${readiness}`,
		`listen.control=${ip}:${controlPorts[index]}`,
		'portRange=7440,7455',
		`seeds=${seeds.join(',')}`,
		'bootstrap=true',
		'limits.cpuShare=0.675',
		'limits.cores=1',
		'limits.memoryMb=350',
		'limits.maxFds=4200',
		'discovery=platform',
		'entry=vip',
		`heartbeatMs=${HEARTBEAT_MS}`,
		'contracts=base,drain,config,cost,recover,sql,platform',
		'bounds.graceS=6',
		'bounds.requireFencing=false',
		`bounds.thawSlackMs=${THAW_SLACK_MS}`,
		`platform.address=${HOST}:${storePort}`,
		'platform.form=objects',
		`cloud.address=${HOST}:${ordersPort}`,
		'cloud.duties=failover',
	].join('\n'));
	const lines = [];
	const proxy = {
		name, ip, front, readiness, settings, lines, isGone: false, stoppedAt: undefined,
	};
	startProcess(proxy);
	return proxy;
}

/** Starts the process of a proxy, also again after it has ended. */
function startProcess(proxy) {
	const child = spawn(process.execPath, RUN, {
		cwd: root,
		env: {PATH: process.env.PATH, ALDERCROFT_BOOT: proxy.settings, ALDERCROFT_PEER_KEYS: PEER_KEYS},
		stdio: ['ignore', 'pipe', 'inherit'],
	});
	children.push(child);
	child.stdout.setEncoding('utf8').on('data', chunk => {
		proxy.lines.push(chunk);
	});
	proxy.child = child;
}

/** Sends SIGTERM, and SIGKILL after the grace period. Resolves once the process has ended. */
async function stopProcess(proxy) {
	const {child} = proxy;
	proxy.stoppedAt = clock.now();
	note(`${proxy.name} gets SIGTERM`);
	const ended = once(child, 'exit');
	child.kill('SIGTERM');
	const killing = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
	await ended;
	clearTimeout(killing);
	note(`${proxy.name} has ended`);
}

const isReady = async ({ip, readiness}) => {
	const res = await fetch(`http://${ip}:${readiness}/ready`).catch(() => undefined);
	return res?.status === 200;
};

/** Opens sessions at the proxies' own addresses. */
async function openAt({ip, front}, database) {
	const port = await getRelay(ip, front);
	return openWireCaller(port, database);
}

const relays = new Map();

/** The project's caller connects to 127.0.0.1 alone, so a plain relay leads to the address of each proxy. */
async function getRelay(ip, port) {
	const key = `${ip}:${port}`;
	if (!relays.has(key)) {
		const server = createServer(near => {
			const far = connect({host: ip, port, noDelay: true});
			near.setNoDelay(true);
			near.pipe(far);
			far.pipe(near);
			near.on('error', () => far.destroy());
			far.on('error', () => near.destroy());
		});
		server.listen(0, HOST);
		await once(server, 'listening');
		relays.set(key, server);
	}

	return relays.get(key).address().port;
}

/** Writes one after the other on a session; every third time in a transaction with pauses, unless the client sends single writes alone. */
async function runClient({
	proxy, group, number, attempts, isOver, singlesOnly = false,
}) {
	let count = 0;
	// Clients are out of step with each other, so that transactions are open at each moment.
	await sleep((number * 170) % 1100);
	while (!isOver()) {
		if (proxy.isGone) {
			return;
		}

		const caller = await openAt(proxy, `db-${group}`);
		while (!caller.closed && !isOver() && caller.greeting.some(line => line.startsWith('READY'))) {
			count++;
			const id = `${group}-${proxy.name}-${number}-${count}`;
			const attempt = {
				id, group, proxy, sentAt: clock.now(), single: singlesOnly || count % 3 !== 0,
			};
			attempts.push(attempt);
			if (attempt.single) {
				attempt.answer = await caller.ask(id, `WRITE item-${number} data${count}`);
			} else {
				await caller.ask(`${id}-b`, 'BEGIN');
				await caller.ask(`${id}-w`, `WRITE item-${number} data${count}`);
				await sleep(600 + ((number * 70) % 500));
				attempt.answer = await caller.ask(id, 'COMMIT');
			}

			attempt.answeredAt = clock.now();
			attempt.outcome = getOutcome(attempt.answer);
			if (attempt.outcome !== 'done') {
				break;
			}

			await sleep(100);
		}

		caller.leave();
		await sleep(100);
	}
}

async function main() {
	const folder = mkdtempSync(path.join(tmpdir(), 'review-2-'));
	const commits = [];
	const promotions = [];
	const orders = [];
	const attempts = [];
	const proxies = [];
	const clients = [];
	const drainedAt = new Map();
	let restarting;
	const [storePort] = await findFreePorts(1);
	const store = await startHttpStoreServer(HOST, storePort);
	dropUnpublishedHeader(store);
	const started = new Map();
	let over = false;
	let ordersServer;
	try {
		store.put('config', 'main', {
			revision: 1,
			routes: GROUPS.map(name => ({
				name: `r-${name}`, host: `db-${name}`, type: 'primary', pathPrefix: '/', timeoutMs: 1000, targetLatencyMs: 200, priority: 1, backend: name, maxAttempts: 2,
			})),
			backends: GROUPS.map(name => ({name, maxConnections: CONNECTIONS, syncReplicas: 0})),
			limits: {txIdleMs: 3000},
		});
		for (const name of GROUPS) {
			started.set(name, await startGroup(name, {
				store, commits, promotions, drainedAt,
			}));
		}

		const groups = new Map([...started].map(([name, {group}]) => [name, group]));
		ordersServer = await startOrders(groups, orders);
		const ordersPort = ordersServer.address().port;
		const controlPorts = await findFreePorts(PROXIES.length);
		const seeds = [0, 3, 5].map(i => `127.0.1.${i + 1}:${controlPorts[i]}`);
		for (const i of PROXIES.keys()) {
			proxies.push(await startProxy(i, {
				storePort, ordersPort, folder, seeds, controlPorts,
			}));
		}

		for (const proxy of proxies) {
			for (const until = clock.now() + 20_000; !await isReady(proxy);) {
				if (clock.now() > until || proxy.child.exitCode !== null) {
					throw new Error(`${proxy.name} is not ready`);
				}

				await sleep(50);
			}
		}

		const getRecord = group => store.takeBackup().kinds.get('aldercroft-leadership')?.get(`group.${group}`)?.spec;
		await waitFor('each group has a primary', 15_000, () => GROUPS.every(group => getRecord(group)?.phase === 'steady'));
		note(`${proxies.length} proxies serve ${GROUPS.length} groups`);
		for (const [i, proxy] of proxies.entries()) {
			const isOver = () => over;
			clients.push(
				runClient({
					proxy, group: GROUPS[i % 3], number: i, attempts, isOver,
				}),
				runClient({
					proxy, group: 'rosters', number: i + 100, attempts, isOver,
				}),
				runClient({
					proxy, group: 'rosters', number: i + 200, attempts, isOver, singlesOnly: true,
				}),
			);
		}

		await sleep(3000);

		/** Starts the replacement of a server: the new one starts first, then the old one drains. */
		const release = async (name, index, newIndex) => {
			const {group} = started.get(name);
			if (newIndex !== undefined) {
				group.restart(group.servers[newIndex]);
				await sleep(500);
			}

			const {id} = group.servers[index];
			group.servers[index].leaving = true;
			note(`${id} of ${name} drains`);
			return id;
		};

		// One proxy is removed for good. Its record stays for a while, so that a replacement of a primary waits for its lease to expire.
		const removed = proxies.at(-1);
		if (withTrouble) {
			await sleep(7000);
			await stopProcess(removed);
			removed.isGone = true;
		}

		// The primary of the first group is released, and the failover coordinator that replaces it is stopped for a restart.
		const second = started.get('rosters').group;
		second.restart(second.servers[3]);
		await release('nights', 0, 3);
		await waitFor('the first group is being changed', 15_000, () => getRecord('nights').phase === 'changing');
		const coordinator = proxies.find(({name}) => name === getRecord('nights').changedBy);
		note(`${coordinator.name} replaces the primary of nights`);
		await sleep(STOP_AFTER_MARK_MS);
		if (withTrouble) {
			restarting = stopProcess(coordinator).then(async () => {
				await sleep(500);
				startProcess(coordinator);
			});
		}

		// The primary of the second group is released.
		const leavingId = await release('rosters', 0);
		const leaving = await waitFor('the store has accepted that it drains', 2000, () => drainedAt.has(leavingId) && {id: leavingId, at: drainedAt.get(leavingId)});
		await sleep(leaving.at + DRAIN_MS + EXIT_AFTER_MS - clock.now());
		const isStillRecorded = getRecord('rosters').primaryId === leavingId;
		second.crash(second.servers[0]);
		store.remove('servers', leavingId);
		note(`${leavingId} has ended${isStillRecorded ? ' and is still the recorded primary' : ''}`);
		await sleep(10_000);
		over = true;
		await Promise.all(clients);
		await restarting;
		return judge({
			commits, attempts, leaving, groups, promotions,
		});
	} finally {
		over = true;
		for (const {child} of proxies) {
			child.kill('SIGKILL');
		}

		if (process.env.KEEP_LOGS) {
			writeFileSync(process.env.KEEP_LOGS, proxies.flatMap(({lines}) => lines).join(''));
		}

		for (const {stop} of started.values()) {
			stop();
		}

		for (const server of [store.server, ordersServer]) {
			server?.closeAllConnections();
			server?.close();
		}

		rmSync(folder, {recursive: true});
	}
}

/** Checks the rule DRAIN for the server that left second, as far as single writes show it, and counts what was cut off when the server ended. */
function judge({commits, attempts, leaving, groups, promotions}) {
	const byId = new Map(attempts.map(attempt => [attempt.id, attempt]));
	/** Whether the machine was in touch: no SIGTERM and no start in the `stableWindowMs` before. */
	const isInTouch = ({stoppedAt, isGone}, at) => !isGone && (stoppedAt === undefined || at < stoppedAt || at > stoppedAt + GRACE_MS + 2000 + STABLE_WINDOW_MS);
	const late = commits.filter(({id, server, at}) => {
		const attempt = byId.get(id);
		return server.id === leaving.id && at > leaving.at + DRAIN_MS + ARRIVAL_MARGIN_MS && attempt?.single && isInTouch(attempt.proxy, at);
	});
	for (const {id, at} of late) {
		note(`BROKEN DRAIN: ${id} runs at ${leaving.id} ${Math.round(at - leaving.at)} ms after the store accepted that it drains, sent by ${byId.get(id).proxy.name}`, at);
	}

	const endedAt = leaving.at + DRAIN_MS + EXIT_AFTER_MS;
	const cut = attempts.filter(({group, outcome, sentAt, answeredAt, proxy}) =>
		group === 'rosters' && outcome === 'unknown' && sentAt < endedAt && answeredAt >= endedAt - 5 && isInTouch(proxy, sentAt));
	const cutLate = cut.filter(({single, sentAt}) => single && sentAt > leaving.at + DRAIN_MS);
	const {latestPrimary} = groups.get('rosters');
	const lost = commits.filter(({id, group}) => group === 'rosters' && byId.get(id)?.outcome === 'done'
		&& !latestPrimary.log.some(({commit}) => commit.writes.some(({statementId}) => statementId === id || statementId === `${id}-w`)));
	note(`single writes that ran at ${leaving.id} later than ${DRAIN_MS} ms: ${late.length}`);
	note(`commits and writes without an outcome when ${leaving.id} ended: ${cut.length}, of them single writes sent later than ${DRAIN_MS} ms: ${cutLate.length}`);
	note(`acknowledged commits to rosters that its present primary lacks: ${lost.length}`);
	const next = promotions.find(({group}) => group === 'rosters');
	note(`rosters has another primary ${next ? `${Math.round(next.at - leaving.at)} ms after that` : 'never'}`);
	note(`attempts ${attempts.length}, acknowledged ${attempts.filter(({outcome}) => outcome === 'done').length}`);
	return late.length > 0 ? 1 : 0;
}

process.on('exit', () => {
	for (const child of children) {
		child.kill('SIGKILL');
	}
});
for (const signal of ['SIGTERM', 'SIGINT']) {
	process.on(signal, () => process.exit(2));
}

let code = 2;
try {
	code = await main();
} catch (err) {
	note(`the case could not run: ${err.stack}`);
}

note(['held', 'BROKEN', 'could not run'][code]);
writeFileSync(recordPath, `${record.join('\n')}\n`);
console.log(record.slice(-8).join('\n'));
// Node itself exits with 1 where a module cannot be loaded.
process.exit(code === 1 ? BROKEN_EXIT_CODE : code); // eslint-disable-line unicorn/no-process-exit
