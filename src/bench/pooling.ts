import {createHostRanking} from '../membership/host-ranking.js';
import type {PlatformHost} from '../object-store/platform.js';
import type {Experiment, Variant} from './experiment.js';
import {measureSeeds, type Figures} from './overload/part.js';
import {
	CONNECTIONS, LENGTH_MS, PROXIES, runPoolingScenario, SLOTS, type PoolingOutcome, type Sharing,
} from './pooling/pooling-scenario.js';
import {getPercentile} from './statistics.js';

/** The default first, then the variants with which it is compared. */
const SHARING_VARIANTS: readonly Sharing[] = [
	{name: '2 owners', sharers: 2},
	{name: '1 owner', sharers: 1},
	{name: '3 owners', sharers: 3},
	{name: 'direct split over 9', sharers: PROXIES},
];

const HOST_DIES_AT_MS = 10_000;
/** Time after the host dies in which failed requests are counted, in milliseconds. */
const AFTER_DEATH_MS = 5000;

/** Compares owners with a direct split of a server's connections over all proxies, in virtual time. */
export const pooling: Experiment = {
	name: 'pooling',
	description: 'Waiting, connections and losses with 1 to 3 owners a group and with connections split over nine proxies',
	async run({seeds, report}) {
		const variants: Variant[] = [];
		for (const sharing of SHARING_VARIANTS) {
			report(`pooling: ${sharing.name}`);
			variants.push({name: sharing.name, measures: await measureSeeds(seeds, async seed => measureSharing(sharing, seed))});
		}

		return {
			name: pooling.name,
			description: pooling.description,
			seeds,
			setting: {
				proxies: PROXIES, slots: SLOTS, connections: CONNECTIONS, lengthMs: LENGTH_MS,
			},
			measures: variants[0]!.measures,
			baselines: variants.slice(1),
			plots: [],
		};
	},
};

async function measureSharing(sharing: Sharing, seed: number): Promise<Figures> {
	const even = await runPoolingScenario({sharing, seed, getLoad: () => 0.7 / PROXIES});
	const burst = await runPoolingScenario({
		sharing, seed, getLoad: (entry, at) => entry === 4 && at % 5000 < 1000 ? 1.5 : 0.3 / PROXIES,
	});
	const death = await runPoolingScenario({
		sharing, seed, getLoad: () => 0.7 / PROXIES, diesAt: HOST_DIES_AT_MS,
	});
	return {
		...describe('even load 0.7', even),
		...describe('bursts of 1.5 at one entry', burst),
		'connections opened at an even load (connections)': even.server.opened,
		'a host dies: not done within 5 s after (%)': getFailedPercent(death),
		'a host dies: time until 99% of a half second are done again (ms)': getRecoveryMs(death),
		'a host dies: connections refused by the cap (connections)': death.server.refused,
		'a host is replaced: groups of 100 with another owner (groups)': countMoved(sharing, seed),
	};
}

function describe(name: string, {requests, server}: PoolingOutcome): Figures {
	const done = requests.filter(request => request.done);
	const waits = done.map(({waitedMs}) => waitedMs);
	return {
		[`${name}: wait p50 (ms)`]: getPercentile(waits, 0.5),
		[`${name}: wait p99 (ms)`]: getPercentile(waits, 0.99),
		[`${name}: not done in time (%)`]: getPercent(requests.length - done.length, requests.length),
		[`${name}: most connections open (connections)`]: server.maxOpen,
	};
}

function getFailedPercent({requests}: PoolingOutcome): number {
	const counted = requests.filter(({at}) => at >= HOST_DIES_AT_MS && at < HOST_DIES_AT_MS + AFTER_DEATH_MS);
	return getPercent(counted.filter(({done}) => !done).length, counted.length);
}

const WINDOW_MS = 500;
const RECOVERED_FRACTION = 0.99;

function getRecoveryMs({requests}: PoolingOutcome): number {
	let recoveredAt = HOST_DIES_AT_MS;
	for (let from = HOST_DIES_AT_MS; from < LENGTH_MS; from += WINDOW_MS) {
		const counted = requests.filter(({at}) => at >= from && at < from + WINDOW_MS);
		if (counted.filter(({done}) => done).length < RECOVERED_FRACTION * counted.length) {
			recoveredAt = from + WINDOW_MS;
		}
	}

	return recoveredAt - HOST_DIES_AT_MS;
}

function countMoved({sharers}: Sharing, seed: number): number {
	const before = createHostRanking(createHosts(seed));
	const after = createHostRanking(createHosts(seed).with(0, createHost(`new-${seed}`, 0)));
	const options = {isUsable: () => true, nearZones: []};
	return Array.from({length: 100}, (_, group) => `group-${group}`).filter(group => {
		const previousOwners = new Set(before.getOwners(group, sharers, options).map(({name}) => name));
		return after.getOwners(group, sharers, options).some(({name}) => !previousOwners.has(name));
	}).length;
}

function createHosts(seed: number): PlatformHost[] {
	return Array.from({length: PROXIES}, (_, index) => createHost(`entry-${seed}-${index}`, index));
}

function createHost(name: string, index: number): PlatformHost {
	return {
		name, role: 'proxy', address: `10.0.0.${index + 1}:7401`, availabilityZone: `hall-${'abcd'[index % 4]}`, state: 'live',
	};
}

function getPercent(part: number, whole: number): number {
	return whole === 0 ? 0 : 100 * part / whole;
}
