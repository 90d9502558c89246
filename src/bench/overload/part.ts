import type {
	ExperimentOptions, Measure, Plot, Variant,
} from '../experiment.js';
import {createMeasure} from '../statistics.js';
import {CallerKind} from './caller-model.js';
import {PRODUCT, type Policy} from './policies.js';
import {runScenario, type GroupOutcome, type Scenario} from './scenario.js';
import {USERS_MIX} from './traffic.js';

/** Results of one part of the experiment: the product's figures, those of the baselines, and plots. */
export type ExperimentPart = {
	readonly measures: readonly Measure[];
	readonly baselines: readonly Variant[];
	readonly plots: readonly Plot[];
};

/** Runs one part of the experiment. */
export type RunExperimentPart = (options: ExperimentOptions) => Promise<ExperimentPart>;

/** Statements that a server runs concurrently, as at Granite Loop. */
export const SLOTS = 3;

/** Figures of one seed, by name; each name ends with the unit in parentheses. */
export type Figures = Readonly<Record<string, number>>;

/** Runs one group on one server, with the product's policy and callers that don't retry unless `scenario` overrides them. */
export async function runOneGroup(seed: number, scenario: Partial<Scenario> & Pick<Scenario, 'groups' | 'lengthMs'>): Promise<GroupOutcome> {
	const [outcome] = await runScenario({
		seed,
		policy: PRODUCT,
		callers: CallerKind.Single,
		mix: USERS_MIX,
		slots: SLOTS,
		owners: 1,
		...scenario,
	});
	return outcome!;
}

/** Runs `getFigures` for each seed and returns a measure of each figure; a figure's name ends with its unit in parentheses. */
export async function measureSeeds(seeds: readonly number[], getFigures: (seed: number) => Promise<Figures>): Promise<readonly Measure[]> {
	const runs: Figures[] = [];
	for (const seed of seeds) {
		runs.push(await getFigures(seed));
	}

	return Object.keys(runs[0] ?? {}).map(title => {
		const {name, unit} = /^(?<name>.*) \((?<unit>[^\(\)]+)\)$/v.exec(title)!.groups as {name: string; unit: string};
		return createMeasure(name, unit, runs.map(run => run[title]!));
	});
}

/** Measures several policies with the same figures: the first is the product, the others its baselines. */
export async function comparePolicies(
	policies: readonly Policy[],
	{seeds, report}: ExperimentOptions,
	getFigures: (seed: number, policy: Policy) => Promise<Figures>,
): Promise<Pick<ExperimentPart, 'measures' | 'baselines'>> {
	const variants: Variant[] = [];
	for (const policy of policies) {
		report(`  ${policy.name}`);
		variants.push({name: policy.name, measures: await measureSeeds(seeds, async seed => getFigures(seed, policy))});
	}

	return {measures: variants[0]!.measures, baselines: variants.slice(1)};
}

/** Returns the value of a measure by its name, NaN where there is none. */
export function getValue(measures: readonly Measure[], name: string): number {
	return measures.find(measure => measure.name === name)?.value ?? Number.NaN;
}
