import {ExpectedUsePolicy, type ExpectedUseOptions} from '../links/expected-use-policy.js';
import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {createMeasure} from './statistics.js';
import {COMPETING_WORKSPACES, SILENT_CONNECTION_METRICS} from './workspace-links/competing-workspaces.js';
import {simulatePoolHosts, type PoolHostsFigures, type PoolHostsScenario} from './workspace-links/simulate-pool-hosts.js';

/** Serves many workspaces at one busy endpoint with several distributions of its connections over hosts, in virtual time. */
export const workspaceLinks: Experiment = {
	name: 'workspace-links',
	description: 'Connections opened for each statement, failures and times where workspaces share the connections of one busy endpoint',
	run,
};

/** Statements per second, and the factor by which the endpoint is slower at first. */
const LOADS = [[40, 1], [120, 1], [120, 5], [180, 1]] as const;

const DISTRIBUTIONS: Readonly<Record<string, Pick<PoolHostsScenario, 'poolHostsPerZone' | 'byWorkspace'>>> = {
	'two hosts a zone, by workspace': {poolHostsPerZone: 2, byWorkspace: true},
	'two hosts a zone, by turns': {poolHostsPerZone: 2, byWorkspace: false},
	'one host a zone': {poolHostsPerZone: 1, byWorkspace: true},
};

const FIGURES: ReadonlyArray<readonly [name: string, unit: string, pick: (figures: PoolHostsFigures) => number]> = [
	['opened', 'a statement', ({openedPerStatement}) => openedPerStatement],
	['openings over the cap', 'a statement', ({overCapPerStatement}) => overCapPerStatement],
	['failed', 'of statements', ({failed}) => failed],
	['failed later', 'of statements', ({failedLater}) => failedLater],
	['p50', 'ms', ({p50Ms}) => p50Ms],
	['p99', 'ms', ({p99Ms}) => p99Ms],
];

/** Statements per second of the workspaces that compete for one endpoint. */
const COMPETING_LOADS = [60, 120, 160] as const;

/** Connection policies of the pool hosts; undefined for the pool's default. */
const POLICIES: Readonly<Record<string, Omit<ExpectedUseOptions, 'metrics'> | undefined>> = {
	'longest idle': undefined,
	'expected use': {},
	'expected use, opened whenever none is free': {patience: 0},
	'expected use, patience 1': {patience: 1},
	'expected use, patience 8': {patience: 8},
	'expected use, rates of 30 s': {timeConstantMs: 30_000},
	'expected use, whole share kept': {freelyFraction: 1, keptFraction: 1},
	'expected use, whole share opened': {freelyFraction: 1},
	'expected use, two thirds opened': {freelyFraction: 2 / 3},
};

const COMPETING_FIGURES: typeof FIGURES = [
	...FIGURES.filter(([name]) => name !== 'failed later'),
	['failed after the loss of a pool host', 'of its statements', ({failedAfterLoss}) => failedAfterLoss],
	['p99, worst workspace', 'of the median', ({p99Spread}) => p99Spread],
	['p99, rarely used workspaces', 'ms', ({rareP99Ms}) => rareP99Ms],
];

async function run({seeds, report}: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const [name, distribution] of Object.entries(DISTRIBUTIONS)) {
		report(name);
		variants.push({name, measures: await measureDistribution(distribution, seeds)});
	}

	for (const [name, policy] of Object.entries(POLICIES)) {
		report(name);
		variants.push({name, measures: await measurePolicy(policy, seeds)});
	}

	return {
		name: workspaceLinks.name,
		description: workspaceLinks.description,
		seeds,
		setting: {
			workspaces: 83, skew: 1, zones: 4, connections: 46, slots: 3, 'skew by policy': 1.2, 'connections by policy': 56, 'slots by policy': 4,
		},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureDistribution(distribution: Pick<PoolHostsScenario, 'poolHostsPerZone' | 'byWorkspace'>, seeds: readonly number[]): Promise<readonly Measure[]> {
	const measures: Measure[] = [];
	for (const [statementsPerSecond, slowFactor] of LOADS) {
		const title = `${statementsPerSecond}/s${slowFactor === 1 ? '' : `, slow by ${slowFactor} at first`}`;
		measures.push(...await measureScenario(title, {
			...distribution, zones: 4, workspaces: 83, skew: 1, statementsPerSecond, slowFactor,
		}, FIGURES, seeds));
	}

	return measures;
}

async function measurePolicy(policy: Omit<ExpectedUseOptions, 'metrics'> | undefined, seeds: readonly number[]): Promise<readonly Measure[]> {
	const createPolicy = policy && (() => new ExpectedUsePolicy({...policy, metrics: SILENT_CONNECTION_METRICS}));
	const measures: Measure[] = [];
	for (const statementsPerSecond of COMPETING_LOADS) {
		measures.push(...await measureScenario(`${statementsPerSecond}/s`, {...COMPETING_WORKSPACES, statementsPerSecond, createPolicy}, COMPETING_FIGURES, seeds));
	}

	return measures;
}

async function measureScenario(title: string, scenario: Omit<PoolHostsScenario, 'seed'>, figures: typeof FIGURES, seeds: readonly number[]): Promise<readonly Measure[]> {
	const runs: PoolHostsFigures[] = [];
	for (const seed of seeds) {
		runs.push(await simulatePoolHosts({...scenario, seed}));
	}

	return figures.map(([name, unit, pick]) => createMeasure(`${title}: ${name}`, unit, runs.map(run => pick(run))));
}
