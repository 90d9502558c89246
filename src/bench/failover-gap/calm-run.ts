import type {Random} from '../../random/random.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import type {Clock} from '../../time/clock.js';
import {
	closeStage, countFailed, openStage, type GapPolicy, type Stage,
} from './loss-run.js';
import {getLongestFiling} from './filings.js';

/** What a stretch of time cost in which no primary was lost. */
export type CalmFigures = {
	readonly promotions: number;
	readonly longestMs: number;
	readonly failed: number;
};

/** Pauses of a healthy process, as garbage collection brings them, in milliseconds. */
const LEAST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 500;

/** Mean time between two pauses of one server or host, in milliseconds. */
const PAUSE_EVERY_MS = 20_000;

/** Jitter of a link between a host and a server, set anew this often; milliseconds. */
const MOST_JITTER_MS = 80;
const JITTER_EVERY_MS = 5000;

/** Lets time pass with pauses of servers and hosts and jitter on their links, and counts the promotions, all of them needless. */
export async function runCalm(seed: number, policy: GapPolicy, ms: number): Promise<CalmFigures> {
	const stage = await openStage(seed, policy);
	const {system, primary, replicas, stream, promotions} = stage;
	const {clock} = system;
	const random = createSeededRandom(seed + 500);
	const endsAt = clock.now() + ms;

	const pausing = [
		...[primary, ...replicas].map(async ({faults}) => pauseNowAndThen(clock, random, endsAt, async pauseMs => {
			faults.freeze();
			await clock.sleep(pauseMs);
			faults.thaw();
		})),
		...system.proxies.map(async proxy => pauseNowAndThen(clock, random, endsAt, async pauseMs => {
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
		jitter(stage, random, endsAt),
	];
	await clock.advance(ms);
	await clock.runUntil(Promise.all(pausing));
	const count = promotions.length;
	await closeStage(stage);
	return {promotions: count, longestMs: getLongestFiling(stream.filings), failed: countFailed(stream)};
}

async function pauseNowAndThen(clock: Clock, random: Random, endsAt: number, pause: (ms: number) => Promise<void>): Promise<void> {
	for (;;) {
		await clock.sleep(PAUSE_EVERY_MS * 2 * random.fraction());
		if (clock.now() >= endsAt) {
			return;
		}

		await pause(LEAST_PAUSE_MS + ((LONGEST_PAUSE_MS - LEAST_PAUSE_MS) * random.fraction()));
	}
}

async function jitter({system, primary, replicas}: Stage, random: Random, endsAt: number): Promise<void> {
	const links = system.proxies.flatMap(({endpoints}) => [primary, ...replicas].map(({address}) => endpoints.getLink(address)));
	while (system.clock.now() < endsAt) {
		for (const link of links) {
			link.setDelay(random.fraction() < 0.1 ? MOST_JITTER_MS * random.fraction() : 0);
		}

		await system.clock.sleep(JITTER_EVERY_MS);
	}

	for (const link of links) {
		link.setDelay(0);
	}
}
