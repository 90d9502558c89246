import type {Log} from '../../src/log/log.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createSimulatedProxies} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import type {PlainObserver} from '../../src/stand-ins/plain-group/plain-server.js';
import {createDrainWatch, type DrainWatch} from './drain-watch.js';
import {runCaller} from './leadership-callers.js';
import {createLeadershipHistory, type LeadershipHistory} from './leadership-history.js';
import {healAllFaults, injectFaults} from './leadership-faults.js';
import {
	LARGE_FLEET, LARGE_FLEET_CONNECTIONS, GROUP, PROXIES, ROUTES, type World,
} from './leadership-world.js';

/** Result of a schedule. */
export type ScheduleOutcome = {
	readonly violations: readonly string[];
	readonly figures: LeadershipHistory['figures'];
	readonly promotions: number;
	/** Whether a read was served again after all faults had ended. */
	readonly servedAfterwards: boolean;
};

/** Options of {@link runLeadershipSchedule}. */
export type LeadershipScheduleOptions = {
	/** Creates the proxies' log. The time is the virtual time since the schedule's start, in milliseconds. */
	createLog?(getNow: () => number): Log;
	/** Virtual time during which faults are injected, in milliseconds. */
	readonly lengthMs?: number;
	readonly callersPerProxy?: number;
	/** Whether each schedule has only a few kinds of faults, which can include slow and frozen endpoints. */
	readonly swarms?: boolean;
	/** Whether there are too many proxies for each to have connections of its own, so that some use those of pool hosts. */
	readonly largeFleet?: boolean;
	/** Whether servers restart without their data. */
	readonly emptyRestarts?: boolean;
	/** Whether the store is restored from a backup at times. */
	readonly restores?: boolean;
	/** Whether proxies are ordered to stop and primaries released; in every second schedule among few other faults, so that the new work of leaving servers can be judged. */
	readonly stops?: boolean;
	/** Whether the primary waits for one replica, and replicas are deaf or cut off from all proxies at times. */
	readonly waitsForReplica?: boolean;
};

/** Time after which leaving servers get no new work, in milliseconds: shorter than a replacement that waits for primary leases to expire. */
const MAX_LEAVING_MS = 4000;

const DEFAULT_LENGTH_MS = 15_000;
const QUIET_MS = 14_000;

/** The same 8 schedules gave the same results with 2 rounds as with 3, and other results with 1. */
const CLOCK_SETTLE_ROUNDS = 2;

/** Interval at which replicas receive log entries, in milliseconds: half of the shortest lag. */
const REPLICATE_MS = 10;

/** Interval of the check whether anything was served, in milliseconds. */
const CHECK_INTERVAL_MS = 250;
const DEFAULT_CALLERS_PER_PROXY = 2;

function joinObservers(observer: PlainObserver, drains: DrainWatch): PlainObserver {
	return {
		...observer,
		onRead(read) {
			observer.onRead(read);
			drains.observer.onRead(read);
		},
		onCommit(commit, server, id, workspace) {
			observer.onCommit(commit, server, id, workspace);
			drains.observer.onCommit(commit, server, id, workspace);
		},
	};
}

/** Runs a random schedule of faults against the real leadership code. The same seed gives the same schedule. */
export async function runLeadershipSchedule(seed: number, options: LeadershipScheduleOptions = {}): Promise<ScheduleOutcome> {
	const clock = createVirtualClock(undefined, {drainRounds: CLOCK_SETTLE_ROUNDS});
	const startedAt = clock.now();
	const history = createLeadershipHistory(() => clock.now(), {losesNothing: options.waitsForReplica});
	const random = createSeededRandom(seed);
	const maxLeavingMs = options.stops ? MAX_LEAVING_MS : undefined;
	const drains = options.stops && seed % 2 === 0 ? createDrainWatch(() => clock.now(), MAX_LEAVING_MS, history.addViolation) : undefined;
	const observer = drains ? joinObservers(history.observer, drains) : history.observer;
	const system = createSimulatedProxies({
		clock,
		seed,
		groups: [{
			name: GROUP, zones: ['zone-0', 'zone-1', 'zone-2'], observer, promoteMs: 600 + (400 * random.fraction()), lagMs: 20 + (60 * random.fraction()), replicateMs: REPLICATE_MS,
			maxConnections: options.largeFleet ? LARGE_FLEET_CONNECTIONS : undefined, syncReplicas: options.waitsForReplica ? 1 : undefined,
		}],
		routes: ROUTES,
		maxLeavingMs,
		log: options.createLog?.(() => clock.now() - startedAt),
		maxOrderDelayMs: 30,
	});
	history.setGroup(system.groups[0]!);
	const world: World = {
		system, history, random, clock, proxies: options.largeFleet ? LARGE_FLEET : PROXIES, drains, maxLeavingMs, faultsEndAt: Number.POSITIVE_INFINITY, stopped: false, served: 0,
	};
	for (const name of world.proxies) {
		const starting = system.startProxy(name);
		await clock.runUntil(starting);
	}

	await clock.advance(10_000);
	for (const name of world.proxies) {
		for (let i = 0; i < (options.callersPerProxy ?? DEFAULT_CALLERS_PER_PROXY); i++) {
			void runCaller(world, name, i);
		}
	}

	const lengthMs = options.lengthMs ?? DEFAULT_LENGTH_MS;
	void injectFaults(world, clock.now() + lengthMs, options);
	await clock.advance(lengthMs);
	healAllFaults(world);
	await clock.advance(QUIET_MS / 2);
	world.served = 0;
	// A single served read is sufficient, so the rest of the time without faults is not simulated.
	for (let waitedMs = 0; waitedMs < QUIET_MS / 2 && world.served === 0; waitedMs += CHECK_INTERVAL_MS) {
		await clock.advance(CHECK_INTERVAL_MS);
	}

	const servedAfterwards = world.served > 0;
	world.stopped = true;
	system.stop();
	history.finish(system.orders);
	return {
		violations: history.violations, figures: history.figures, promotions: system.orders.length, servedAfterwards,
	};
}
