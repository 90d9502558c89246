import {createSeededRandom} from '../../random/seeded-random.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {createTokenBucket} from '../../workspaces/token-bucket.js';
import type {RateLimit} from '../../workspaces/workspace.js';
import type {FleetLimit, FleetLimitOptions} from './fleet-limit.js';

/** Creates an enforcement of one limit over a fleet. */
export type FleetLimitFactory = (options: FleetLimitOptions) => FleetLimit;

/** One step of a load, in which callers send operations at a constant mean rate. */
export type LoadStep = {
	readonly ms: number;
	/** Mean rate of operations, as a multiple of the limit's rate. */
	readonly load: number;
	/** Hosts that receive the operations; all without it. */
	readonly hosts?: 'first half' | 'second half';
	/** New limit at the beginning of the step. */
	readonly limit?: RateLimit;
	readonly killsCoordinator?: boolean;
	/** Whether the figures include the step's operations. */
	readonly measured?: boolean;
};

/** Figures of one run. */
export type LimitFigures = {
	/** Number of operations by which the fleet allows fewer than one counter for the whole fleet would, as a share of those that the counter allows. */
	readonly wronglyRefused: number;
	/** Maximum number of operations in a window, as a share of what the users allow there. */
	readonly maxInWindow: number;
	readonly messagesPerOperation: number;
	readonly waitP50Ms: number;
	readonly waitP99Ms: number;
};

/** Window in which the users count operations, and what they allow there: the limit times a factor and some operations more. */
const WINDOW_MS = 5000;
const ALLOWED_FACTOR = 1.1;
const ALLOWED_EXTRA = 20;

type Operation = {readonly startedAt: number; readonly doneAt: number; readonly allowed: boolean; readonly measured: boolean; readonly allowedByOracle: boolean};

/** Simulates a load against one enforcement of a limit. */
export async function simulateLimit(factory: FleetLimitFactory, hosts: number, limit: RateLimit, steps: readonly LoadStep[], seed: number): Promise<LimitFigures> {
	const clock = createVirtualClock(undefined, {drainRounds: 2});
	const random = createSeededRandom(seed);
	const fleet = factory({
		clock, random, hosts, limit,
	});
	const oracle = createTokenBucket(limit, limit.burst, clock.now());
	const operations: Operation[] = [];

	const runOperation = async (host: number, measured: boolean) => {
		const startedAt = clock.now();
		const allowedByOracle = oracle.take(1, startedAt) === 1;
		const allowed = await fleet.take(host);
		operations.push({
			startedAt, doneAt: clock.now(), allowed, measured, allowedByOracle,
		});
	};

	for (const {ms, load, hosts: part, limit: changed, killsCoordinator, measured: isMeasured = false} of steps) {
		if (changed) {
			fleet.setLimit(changed);
			oracle.setLimit(changed, clock.now());
		}

		if (killsCoordinator) {
			fleet.killCoordinator();
		}

		const chosen = Array.from({length: hosts}, (_, i) => i).filter(i => !fleet.dead.has(i) && (part === undefined || (i < hosts / 2) === (part === 'first half')));
		const rate = limit.ratePerSecond * load;
		const until = clock.now() + ms;
		while (clock.now() < until) {
			void runOperation(chosen[Math.floor(random.fraction() * chosen.length)]!, isMeasured);
			// Arrivals are independent, at the given mean rate.
			await clock.advance(-Math.log(1 - random.fraction()) * 1000 / rate);
		}
	}

	await clock.advance(1000);
	return getFigures(operations, fleet.messages, limit);
}

function getFigures(operations: readonly Operation[], messages: number, {ratePerSecond, burst}: RateLimit): LimitFigures {
	const measured = operations.filter(operation => operation.measured);
	const expected = measured.filter(({allowedByOracle}) => allowedByOracle).length;
	const allowedCount = measured.filter(({allowed}) => allowed).length;
	const times = operations.filter(({allowed}) => allowed).map(({doneAt}) => doneAt).toSorted((left, right) => left - right);
	const waits = measured.map(({startedAt, doneAt}) => doneAt - startedAt).toSorted((left, right) => left - right);
	let first = 0;
	let maxCount = 0;
	for (const [last, time] of times.entries()) {
		while (times[first]! <= time - WINDOW_MS) {
			first++;
		}

		maxCount = Math.max(maxCount, last - first + 1);
	}

	return {
		wronglyRefused: Math.max(0, expected - allowedCount) / Math.max(1, expected),
		maxInWindow: maxCount / ((((ratePerSecond * WINDOW_MS / 1000) + burst) * ALLOWED_FACTOR) + ALLOWED_EXTRA),
		messagesPerOperation: messages / Math.max(1, operations.length),
		waitP50Ms: waits[Math.floor(waits.length / 2)] ?? 0,
		waitP99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
	};
}
