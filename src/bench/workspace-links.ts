import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {createMeasure} from './statistics.js';
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

async function run({seeds, report}: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const [name, distribution] of Object.entries(DISTRIBUTIONS)) {
		report(name);
		variants.push({name, measures: await measureDistribution(distribution, seeds)});
	}

	return {
		name: workspaceLinks.name,
		description: workspaceLinks.description,
		seeds,
		setting: {
			workspaces: 83, skew: 1, zones: 4, connections: 46, slots: 3,
		},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureDistribution(distribution: Pick<PoolHostsScenario, 'poolHostsPerZone' | 'byWorkspace'>, seeds: readonly number[]): Promise<readonly Measure[]> {
	const measures: Measure[] = [];
	for (const [statementsPerSecond, slowFactor] of LOADS) {
		const runs: PoolHostsFigures[] = [];
		for (const seed of seeds) {
			runs.push(await simulatePoolHosts({
				...distribution, zones: 4, workspaces: 83, skew: 1, statementsPerSecond, slowFactor, seed,
			}));
		}

		for (const [name, unit, pick] of FIGURES) {
			measures.push(createMeasure(`${statementsPerSecond}/s${slowFactor === 1 ? '' : `, slow by ${slowFactor} at first`}: ${name}`, unit, runs.map(figures => pick(figures))));
		}
	}

	return measures;
}
