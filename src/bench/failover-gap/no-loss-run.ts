import type {Random} from '../../random/random.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import type {Clock} from '../../time/clock.js';
import {
	countFailed, startTestbed, stopTestbed, type GapPolicy, type Testbed,
} from './loss-run.js';
import {getLongestFiling} from './filings.js';

/** Figures of a run in which no primary was lost. */
export type NoLossFigures = {
	readonly promotions: number;
	readonly longestMs: number;
	readonly failed: number;
};

/** Minimum and maximum pause of a healthy process, such as for garbage collection, in milliseconds. */
const MIN_PAUSE_MS = 50;
const MAX_PAUSE_MS = 500;

/** Mean time between the pauses of one server or host, in milliseconds. */
const MEAN_PAUSE_INTERVAL_MS = 20_000;

/** Maximum delay of a link between a host and a server, and the interval at which the delay is set anew; in milliseconds. */
const MAX_JITTER_MS = 80;
const JITTER_INTERVAL_MS = 5000;

/** Runs the system for `ms` milliseconds with pauses of servers and hosts and jitter on their links. Every promotion that it counts is needless. */
export async function runWithoutLoss(seed: number, policy: GapPolicy, ms: number): Promise<NoLossFigures> {
	const testbed = await startTestbed(seed, policy);
	const {system, primary, replicas, stream, promotions} = testbed;
	const {clock} = system;
	const random = createSeededRandom(seed + 500);
	const endsAt = clock.now() + ms;

	const disturbances = [
		...[primary, ...replicas].map(async ({faults}) => pauseAtIntervals(clock, random, endsAt, async pauseMs => {
			faults.freeze();
			await clock.sleep(pauseMs);
			faults.thaw();
		})),
		...system.proxies.map(async proxy => pauseAtIntervals(clock, random, endsAt, async pauseMs => {
			const links = [primary, ...replicas].map(({address}) => proxy.endpoints.getLink(address));
			system.network.pause(proxy.address);
			for (const link of links) {
				link.cut();
			}

			await clock.sleep(pauseMs);
			system.network.resume(proxy.address);
			for (const link of links) {
				link.heal();
			}
		})),
		applyJitter(testbed, random, endsAt),
	];
	await clock.advance(ms);
	await clock.runUntil(Promise.all(disturbances));
	const count = promotions.length;
	await stopTestbed(testbed);
	return {promotions: count, longestMs: getLongestFiling(stream.filings), failed: countFailed(stream)};
}

async function pauseAtIntervals(clock: Clock, random: Random, endsAt: number, pause: (ms: number) => Promise<void>): Promise<void> {
	for (;;) {
		await clock.sleep(MEAN_PAUSE_INTERVAL_MS * 2 * random.fraction());
		if (clock.now() >= endsAt) {
			return;
		}

		await pause(MIN_PAUSE_MS + ((MAX_PAUSE_MS - MIN_PAUSE_MS) * random.fraction()));
	}
}

async function applyJitter({system, primary, replicas}: Testbed, random: Random, endsAt: number): Promise<void> {
	const links = system.proxies.flatMap(({endpoints}) => [primary, ...replicas].map(({address}) => endpoints.getLink(address)));
	while (system.clock.now() < endsAt) {
		for (const link of links) {
			link.setDelay(random.fraction() < 0.1 ? MAX_JITTER_MS * random.fraction() : 0);
		}

		await system.clock.sleep(JITTER_INTERVAL_MS);
	}

	for (const link of links) {
		link.setDelay(0);
	}
}
