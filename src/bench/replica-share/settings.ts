import {PredictedPlacement} from '../../owners/predicted-placement.js';
import {createSeededRandom} from '../../random/seeded-random.js';
import {LastSeenPlacement} from './last-seen-placement.js';
import type {ReplicaLag} from './lag-model.js';
import {FixedWaitPlacement, OraclePlacement, PrimaryOnlyPlacement} from './placements.js';
import type {Lags, Policy} from './scenario.js';
import type {Traffic} from './workload.js';

/** Delay of every read in the fixed-wait baseline, in milliseconds. */
export const FIXED_WAIT_MS = 20;

/** The product's placement. */
export const PRODUCT: Policy = {
	name: 'product: predicted',
	createPlacement: (_, seed) => new PredictedPlacement(createSeededRandom(seed + 4000)),
};

/** The product's placement where a session's reads raise its floor too. */
const MONOTONIC: Policy = {...PRODUCT, name: 'product with monotonic reads', monotonicReads: true};

export const BASELINES: readonly Policy[] = [
	MONOTONIC,
	{name: 'last seen', createPlacement: () => new LastSeenPlacement()},
	{name: 'primary only', createPlacement: () => new PrimaryOnlyPlacement()},
	{name: `fixed wait of ${FIXED_WAIT_MS} ms`, createPlacement: (_, seed) => new FixedWaitPlacement(createSeededRandom(seed + 4000), FIXED_WAIT_MS)},
	{name: 'oracle', createPlacement: (system, seed) => new OraclePlacement(system, createSeededRandom(seed + 4000))},
];

const lag = (medianMs: number): ReplicaLag => ({medianMs, stallEveryMs: 4000, stallMs: 600});

/** Lags from short to long. */
export const LAGS: readonly Lags[] = [
	{name: 'lags 5 and 20 ms', replicas: [lag(5), lag(20)]},
	{name: 'lags 50 and 200 ms', replicas: [lag(50), lag(200)]},
	{name: 'lags 0.5 and 2 s', replicas: [lag(500), lag(2000)]},
	{name: 'lags 20 ms and 30 s', replicas: [lag(20), lag(30_000)]},
	{name: 'lags 5 and 30 s', replicas: [lag(5000), lag(30_000)]},
];

/** The lags at which the share of sessions that just wrote is varied. */
export const SWEPT_LAGS = LAGS[1]!;

/** Parts of the reads that are sent by sessions that just wrote. */
export const JUST_WROTE_PARTS = [0, 0.3, 0.9];

/** Parts of the reads without a token, and of those that request the latest data. */
const NO_TOKEN_PART = 0.05;
const LATEST_PART = 0.05;

/** Creates the traffic of the morning, when reads coincide with the sync peak. */
export function createTraffic(justWrotePart: number): Traffic {
	return {
		readsPerSecond: 400,
		syncsPerSecond: 120,
		parts: {
			'just wrote': justWrotePart,
			'wrote before': 1 - justWrotePart - NO_TOKEN_PART - LATEST_PART,
			'no token': NO_TOKEN_PART,
			latest: LATEST_PART,
		},
		agesMs: [100, 1000, 5000, 60_000],
	};
}

/** Part of the reads sent by sessions that just wrote, where it is not varied. */
export const USUAL_JUST_WROTE = 0.3;
