import {createSeededRandom} from '../../random/seeded-random.js';
import {createVirtualClock} from '../../stand-ins/time/virtual-clock.js';
import {createTokenBucket} from '../../workspaces/token-bucket.js';
import type {RateLimit} from '../../workspaces/workspace.js';
import type {FleetLimit, FleetLimitOptions} from './fleet-limit.js';

/** A way to hold a limit. */
export type FleetLimitFactory = (options: FleetLimitOptions) => FleetLimit;

/** One part of a play, with its callers at an even rate. */
export type LoadStep = {
	readonly ms: number;
	/** In parts of the limit. */
	readonly load: number;
	/** Part of the hosts that the callers come to, from one end or the other. */
	readonly hosts?: 'first half' | 'second half';
	/** Set at the beginning of the step. */
	readonly limit?: RateLimit;
	readonly killsCoordinator?: boolean;
	/** Its operations are judged. */
	readonly judged?: boolean;
};

/** What a play showed. */
export type LimitFigures = {
	/** Refused although one counter of the whole fleet would have let it run, as a share of what that lets run. */
	readonly wronglyRefused: number;
	/** Most operations in a window, as a share of what the users allow there. */
	readonly mostInWindow: number;
	readonly messagesPerOperation: number;
	readonly waitP50Ms: number;
	readonly waitP99Ms: number;
};

/** Window in which the users count, and what they allow beyond the limit there. */
const WINDOW_MS = 5000;
const OVERAGE = 1.1;
const SLACK = 20;

type Asked = {readonly at: number; readonly doneAt: number; readonly allowed: boolean; readonly judged: boolean; readonly allowedByOracle: boolean};

/** Plays a load against one way. */
export async function playLimit(factory: FleetLimitFactory, hosts: number, limit: RateLimit, steps: readonly LoadStep[], seed: number): Promise<LimitFigures> {
	const clock = createVirtualClock(undefined, {settleRounds: 2});
	const random = createSeededRandom(seed);
	const fleet = factory({
		clock, random, hosts, limit,
	});
	const oracle = createTokenBucket(limit, limit.burst, clock.now());
	const asked: Asked[] = [];

	const ask = async (host: number, judged: boolean) => {
		const at = clock.now();
		const allowedByOracle = oracle.take(1, at) === 1;
		const allowed = await fleet.take(host);
		asked.push({
			at, doneAt: clock.now(), allowed, judged, allowedByOracle,
		});
	};

	for (const {ms, load, hosts: part, limit: changed, killsCoordinator, judged = false} of steps) {
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
			void ask(chosen[Math.floor(random.fraction() * chosen.length)]!, judged);
			// Callers come by chance, at the given rate in the mean.
			await clock.advance(-Math.log(1 - random.fraction()) * 1000 / rate);
		}
	}

	await clock.advance(1000);
	return judge(asked, fleet.messages, limit);
}

function judge(asked: readonly Asked[], messages: number, {ratePerSecond, burst}: RateLimit): LimitFigures {
	const judged = asked.filter(each => each.judged);
	const owed = judged.filter(({allowedByOracle}) => allowedByOracle).length;
	const served = judged.filter(({allowed}) => allowed).length;
	const times = asked.filter(({allowed}) => allowed).map(({doneAt}) => doneAt).toSorted((left, right) => left - right);
	const waits = judged.map(({at, doneAt}) => doneAt - at).toSorted((left, right) => left - right);
	let first = 0;
	let most = 0;
	for (const [last, time] of times.entries()) {
		while (times[first]! <= time - WINDOW_MS) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return {
		wronglyRefused: Math.max(0, owed - served) / Math.max(1, owed),
		mostInWindow: most / ((((ratePerSecond * WINDOW_MS / 1000) + burst) * OVERAGE) + SLACK),
		messagesPerOperation: messages / Math.max(1, asked.length),
		waitP50Ms: waits[Math.floor(waits.length / 2)] ?? 0,
		waitP99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
	};
}
