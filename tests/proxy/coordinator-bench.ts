import {createSilentLog} from '../../src/log/silent-log.js';
import type {Log} from '../../src/log/log.js';
import type {LeadershipRecord} from '../../src/leadership/leadership-record.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {leave} from '../../src/proxy/leave.js';
import {parseStatement} from '../../src/platform/caller-lines.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {createScriptedCaller} from '../../src/stand-ins/proxies/scripted-caller.js';
import {createSimulatedProxies, type SimulatedProxies, type SimulatedProxy} from '../../src/stand-ins/proxies/simulated-proxies.js';
import type {PlainGroup} from '../../src/stand-ins/plain-group/plain-group.js';
import type {PlainServer} from '../../src/stand-ins/plain-group/plain-server.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** Several groups behind some proxies whose callers write all the time, with orders to stop to the proxies. */
export type CoordinatorBench = {
	readonly clock: VirtualClock;
	readonly system: SimulatedProxies;
	/** Starts a proxy, with callers at it. */
	startProxy(name: string): Promise<void>;
	/** Returns the stored leadership of a group. */
	getRecord(group: string): LeadershipRecord;
	/** Makes the group's primary announce that it is leaving; returns it, with the time of the announcement. */
	drain(group: string): Promise<DrainingPrimary>;
	/** Orders a proxy to stop; it is started again 500 ms after its end unless it is removed. Resolves at its end. */
	stop(proxy: SimulatedProxy, isRemoved?: boolean): Promise<void>;
	/** Advances the clock until the proxy that replaces the group's primary has recorded the change; returns that proxy. */
	waitForCoordinator(group: string): Promise<SimulatedProxy>;
	/** Returns for how long after the announcement of a primary new work reached it, in milliseconds. */
	getLastWorkMs(draining: DrainingPrimary): number;
	/** Advances the clock until the group is steady with another primary; returns how long after the announcement of its former one that was, in milliseconds. */
	waitForSuccessor(group: string, draining: DrainingPrimary): Promise<number>;
};

/** A primary that is leaving. */
export type DrainingPrimary = {
	readonly server: PlainServer;
	/** Virtual time at which the store had its announcement. */
	readonly since: number;
};

/** Options of the bench. */
export type CoordinatorBenchOptions = {
	readonly proxies?: number;
	readonly groups?: readonly string[];
	readonly promoteMs?: number;
	/** Time after which a leaving endpoint gets no new work, in milliseconds. */
	readonly maxLeavingMs?: number;
	readonly log?: Log;
};

/** Time from the order to stop until a process is killed, in milliseconds. */
const GRACE_MS = 6000;

/** Time from the end of a process to the start of the next one, in milliseconds. */
const RESTART_MS = 500;

/** Pause between two writes of a caller, in milliseconds. */
const WRITE_INTERVAL_MS = 20;

/** Maximum virtual time of a wait, in milliseconds. */
const MAX_WAIT_MS = 30_000;

/** Creates the bench; its proxies know the primaries of all groups and may replace them. */
export async function createCoordinatorBench({proxies: count = 5, groups = ['nights', 'rosters'], promoteMs, maxLeavingMs, log}: CoordinatorBenchOptions = {}): Promise<CoordinatorBench> {
	const clock = createVirtualClock();
	const lastWorkAt = new Map<string, number>();
	const observer = {
		onRead() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onCommit(_commit: unknown, server: PlainServer) {
			lastWorkAt.set(server.id, clock.now());
		},
	};
	const routes = groups.map((group): Route => ({
		name: group, database: group, group, policy: ReadPolicy.Primary, maxReadAgeMs: 0, statementTimeoutMs: 1000, targetLatencyMs: 200, priority: 1,
	}));
	const system = createSimulatedProxies({
		clock, seed: 1, groups: groups.map(name => ({
			name, zones: ['zone-0', 'zone-1', 'zone-2'], observer, promoteMs,
		})), routes, maxLeavingMs, log,
	});

	const getGroup = (name: string): PlainGroup => system.groups.find(group => group.name === name)!;
	const getRecord = (group: string) => system.store.getRecord(RecordKind.Leadership, `group.${group}`)!.value as LeadershipRecord;

	/** Writes one after the other at a proxy until that is killed; each session ends with its first refusal. */
	const runCaller = async (proxy: SimulatedProxy, group: string) => {
		while (!proxy.killed) {
			const caller = createScriptedCaller();
			void proxy.kernel.getOrThrow('gateway').serve(caller.channel);
			let goesOn = await Promise.race([caller.open(group), proxy.termination]);
			while (goesOn && !caller.closed && !proxy.killed) {
				const answer = await Promise.race([caller.ask(`write-${clock.now()}`, parseStatement('WRITE a 1')), proxy.termination]);
				goesOn = answer?.end.kind === 'complete';
				await clock.sleep(WRITE_INTERVAL_MS);
			}

			caller.leave();
			await clock.sleep(WRITE_INTERVAL_MS);
		}
	};

	const startProxy = async (name: string) => {
		const proxy = await system.startProxy(name);
		for (const group of groups) {
			void runCaller(proxy, group);
		}
	};

	const waitUntil = async (isSo: () => boolean) => {
		for (const until = clock.now() + MAX_WAIT_MS; !isSo();) {
			if (clock.now() > until) {
				throw new Error(`waited ${MAX_WAIT_MS} ms in vain`);
			}

			await clock.advance(10);
		}
	};

	for (let i = 1; i <= count; i++) {
		await clock.runUntil(startProxy(`entry-${i}`));
	}

	// Hosts that have just registered do not replace primaries yet.
	await clock.advance(10_000);

	return {
		clock,
		system,
		startProxy,
		getRecord,
		async drain(group) {
			const server = getGroup(group).latestPrimary;
			server.leaving = true;
			system.registerEndpoints();
			return {server, since: clock.now()};
		},
		async stop(proxy, isRemoved = false) {
			await leave({
				gateway: proxy.kernel.getOrThrow('gateway'),
				leadershipWatch: proxy.kernel.getOrThrow('leadershipWatch'),
				checkoutServer: proxy.kernel.getOrThrow('checkoutServer'),
				callerPort: {close() {}}, // eslint-disable-line @typescript-eslint/no-empty-function
				clock: proxy.clock,
				log: createSilentLog(),
				graceMs: GRACE_MS,
			});
			system.kill(proxy);
			if (!isRemoved) {
				void clock.sleep(RESTART_MS).then(async () => startProxy(proxy.name));
			}
		},
		async waitForCoordinator(group) {
			await waitUntil(() => getRecord(group).phase === 'changing');
			const {changedBy} = getRecord(group);
			return system.proxies.findLast(({name}) => name === changedBy)!;
		},
		getLastWorkMs: ({server, since}) => (lastWorkAt.get(server.id) ?? since) - since,
		async waitForSuccessor(group, {server, since}) {
			await waitUntil(() => getRecord(group).phase === 'steady' && getRecord(group).primaryId !== server.id);
			return clock.now() - since;
		},
	};
}
