import type {Log} from '../../src/log/log.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createSimulatedProxies} from '../../src/stand-ins/proxies/simulated-proxies.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {runCaller} from './lead-callers.js';
import {createLeadHistory, type LeadHistory} from './lead-history.js';
import {healAll, runTroubles} from './lead-troubles.js';
import {
	CROWD, CROWD_CONNECTIONS, GROUP, PROXIES, ROUTES, type World,
} from './lead-world.js';

/** What a schedule came to. */
export type LeadOutcome = {
	readonly violations: readonly string[];
	readonly figures: LeadHistory['figures'];
	readonly promotions: number;
	/** Whether writes and reads were served again after everything had healed. */
	readonly servedAfterwards: boolean;
};

/** How a schedule is played. */
export type LeadScheduleOptions = {
	/** Creates the proxies' log; the time is that of the schedule, in milliseconds. */
	createLog?(getNow: () => number): Log;
	/** Virtual time of trouble, in milliseconds. */
	readonly lengthMs?: number;
	readonly callersPerProxy?: number;
	/** Whether each schedule has a few kinds of trouble only, slow and frozen endpoints among them. */
	readonly swarms?: boolean;
	/** Whether proxies borrow connections, being too many for each to keep some. */
	readonly crowded?: boolean;
	/** Whether servers start over with nothing of what they held. */
	readonly rebirths?: boolean;
	/** Whether the store comes back from a copy, now and then. */
	readonly returns?: boolean;
};

const DEFAULT_LENGTH_MS = 15_000;
const QUIET_MS = 14_000;

/** The same 8 schedules came to the same figures with 2 rounds as with 3, and to others with 1. */
const SETTLE_ROUNDS = 2;

/** How often replicas receive, in milliseconds: half of the shortest lag. */
const REPLICATE_MS = 10;

/** How often it is looked whether anything was served, in milliseconds. */
const LOOK_MS = 250;
const DEFAULT_CALLERS_PER_PROXY = 2;

/** Plays a random schedule of troubles over the real decisions; the same seed plays the same. */
export async function runLeadSchedule(seed: number, options: LeadScheduleOptions = {}): Promise<LeadOutcome> {
	const clock = createVirtualClock(undefined, {settleRounds: SETTLE_ROUNDS});
	const startedAt = clock.now();
	const history = createLeadHistory(() => clock.now());
	const random = createSeededRandom(seed);
	const system = createSimulatedProxies({
		clock,
		seed,
		groups: [{
			name: GROUP, zones: ['zone-0', 'zone-1', 'zone-2'], observer: history.observer, promoteMs: 600 + (400 * random.fraction()), lagMs: 20 + (60 * random.fraction()), replicateMs: REPLICATE_MS,
			maxConnections: options.crowded ? CROWD_CONNECTIONS : undefined,
		}],
		routes: ROUTES,
		log: options.createLog?.(() => clock.now() - startedAt),
		orderMs: 30,
	});
	history.setGroup(system.groups[0]!);
	const world: World = {
		system, history, random, clock, proxies: options.crowded ? CROWD : PROXIES, stopped: false, served: 0,
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
	void runTroubles(world, clock.now() + lengthMs, options);
	await clock.advance(lengthMs);
	healAll(world);
	await clock.advance(QUIET_MS / 2);
	world.served = 0;
	// What is served once tells what is asked here, and the rest of the quiet shows nothing more.
	for (let waitedMs = 0; waitedMs < QUIET_MS / 2 && world.served === 0; waitedMs += LOOK_MS) {
		await clock.advance(LOOK_MS);
	}

	const servedAfterwards = world.served > 0;
	world.stopped = true;
	system.stop();
	history.finish(system.orders);
	return {
		violations: history.violations, figures: history.figures, promotions: system.orders.length, servedAfterwards,
	};
}
