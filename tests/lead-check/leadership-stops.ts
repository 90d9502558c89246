import type {FailoverLeaseRecord} from '../../src/leadership/leadership-record.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {leave} from '../../src/proxy/leave.js';
import type {SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {Fault} from './leadership-faults.js';
import {pick, type World} from './leadership-world.js';

/** Time from the order to stop until a process is killed, in milliseconds. */
const GRACE_MS = 6000;

/** Maximum time for which a leaving server serves beyond the bound on its new work before it ends, in milliseconds. */
const MAX_OVERTIME_MS = 2000;

/** Time from the end of a server to its return as a new one, in milliseconds. */
const RETURN_MS = 500;

const stopping = new WeakSet<SimulatedProxy>();

/** Returns the proxy to stop: mostly the one that holds the failover lease. */
function pickProxyToStop(world: World): SimulatedProxy | undefined {
	const running = world.system.proxies.filter(proxy => !proxy.killed && !stopping.has(proxy));
	const record = world.system.store.getRecord(RecordKind.Leadership, 'duty')?.value as FailoverLeaseRecord | undefined;
	const holder = running.find(({name}) => name === record?.holder);
	return holder && world.random.fraction() < 0.7 ? holder : (running.length === 0 ? undefined : pick(world, running));
}

/** Orders a proxy to stop; it is started again some time after its end. */
async function stopProxy(world: World, ms: number) {
	const proxy = pickProxyToStop(world);
	if (!proxy) {
		return;
	}

	stopping.add(proxy);
	const {kernel} = proxy;
	await leave({
		gateway: kernel.getOrThrow('gateway'),
		leadershipWatch: kernel.getOrThrow('leadershipWatch'),
		checkoutServer: kernel.getOrThrow('checkoutServer'),
		callerPort: {close() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
		clock: proxy.clock,
		log: createSilentLog(),
		graceMs: GRACE_MS,
	});
	if (proxy.killed) {
		return;
	}

	world.system.kill(proxy);
	await world.clock.sleep(ms / 4);
	await world.system.startProxy(proxy.name);
}

/** Releases a primary: it announces that it is leaving, ends some time after the bound on its new work, and returns as a server that is not leaving. */
async function releasePrimary(world: World) {
	const {clock, system, random} = world;
	const [group] = system.groups;
	const server = group!.latestPrimary;
	if (server.leaving || !server.running) {
		return;
	}

	server.leaving = true;
	system.registerEndpoints();
	world.drains?.noteLeaving(server);
	await clock.sleep(world.maxLeavingMs! + (MAX_OVERTIME_MS * random.fraction()));
	const areOthersRunning = group!.servers.every(({running}) => running);
	if (clock.now() > world.faultsEndAt || !server.leaving || !areOthersRunning) {
		return;
	}

	group!.crash(server);
	server.leaving = false;
	system.registerEndpoints();
	await clock.sleep(RETURN_MS);
	group!.restart(server);
	system.registerEndpoints();
}

/** Planned work: proxies are stopped and started again, and primaries are released. */
export const PLANNED_WORK: readonly Fault[] = [
	(world, ms) => {
		void stopProxy(world, ms);
	},
	world => {
		void releasePrimary(world);
	},
];
