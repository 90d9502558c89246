import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {createIssuerLimit} from './rate-limits/issuer-limit.js';
import {createDemandShares} from './rate-limits/demand-shares.js';
import {
	simulateLimit, type FleetLimitFactory, type LimitFigures, type LoadStep,
} from './rate-limits/simulate-limit.js';
import {createStaticShares} from './rate-limits/static-shares.js';
import {createMeasure} from './statistics.js';

/** Enforces one rate limit on fleets of several sizes with several limiters, in virtual time. */
export const rateLimits: Experiment = {
	name: 'rate-limits',
	description: 'Operations of a workspace that are wrongly refused or wrongly run, messages and waits, by way and size of the fleet',
	run,
};

const SIZES = [9, 82, 300, 900] as const;

const LIMIT = {ratePerSecond: 120, burst: 120};

const LIMITERS: Readonly<Record<string, FleetLimitFactory>> = {
	'counting host': createIssuerLimit,
	'shares by demand': createDemandShares,
	'equal shares': createStaticShares,
};

const STEADY_LOAD: LoadStep = {ms: 3000, load: 0.5};

const LOADS: Readonly<Record<string, readonly LoadStep[]>> = {
	'at 0.9': [STEADY_LOAD, {ms: 10_000, load: 0.9, measured: true}],
	'at 1.1': [STEADY_LOAD, {ms: 10_000, load: 1.1, measured: true}],
	'at 4': [STEADY_LOAD, {ms: 10_000, load: 4, measured: true}],
	'a burst after rest': [{ms: 3000, load: 0.05}, {ms: 200, load: 4.5, measured: true}],
	'callers that move': [{ms: 5000, load: 0.8, hosts: 'first half'}, {
		ms: 5000, load: 0.8, hosts: 'second half', measured: true,
	}],
	'lowered and raised': [STEADY_LOAD, {ms: 6000, load: 0.5, limit: {ratePerSecond: 12, burst: 12}}, {
		ms: 5000, load: 0.8, limit: LIMIT, measured: true,
	}],
	'the coordinator dies': [{ms: 5000, load: 1.5}, {
		ms: 5000, load: 1.5, killsCoordinator: true, measured: true,
	}],
};

const FIGURES: ReadonlyArray<readonly [name: string, unit: string, pick: (figures: LimitFigures) => number]> = [
	['wrongly refused', 'of operations', ({wronglyRefused}) => wronglyRefused],
	['most in a window', 'of what is allowed', ({maxInWindow: mostInWindow}) => mostInWindow],
	['messages', 'an operation', ({messagesPerOperation}) => messagesPerOperation],
	['wait p50', 'ms', ({waitP50Ms}) => waitP50Ms],
	['wait p99', 'ms', ({waitP99Ms}) => waitP99Ms],
];

async function run({seeds, report}: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const hosts of SIZES) {
		for (const [limiter, factory] of Object.entries(LIMITERS)) {
			report(`${limiter}, ${hosts} hosts`);
			variants.push({name: `${limiter}, ${hosts} hosts`, measures: await measureLimiter(factory, hosts, seeds)});
		}
	}

	return {
		name: rateLimits.name,
		description: rateLimits.description,
		seeds,
		setting: {'operations a second': LIMIT.ratePerSecond, burst: LIMIT.burst},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureLimiter(factory: FleetLimitFactory, hosts: number, seeds: readonly number[]): Promise<readonly Measure[]> {
	const measures: Measure[] = [];
	for (const [load, steps] of Object.entries(LOADS)) {
		const runs: LimitFigures[] = [];
		for (const seed of seeds) {
			runs.push(await simulateLimit(factory, hosts, LIMIT, steps, seed));
		}

		for (const [name, unit, pick] of FIGURES) {
			measures.push(createMeasure(`${load}: ${name}`, unit, runs.map(figures => pick(figures))));
		}
	}

	return measures;
}
