import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {runWithoutLoss} from './failover-gap/no-loss-run.js';
import {FILING_INTERVAL_MS} from './failover-gap/filings.js';
import {
	GAP_PARTS, LOSS_MS, runLoss, type GapPolicy, type LossFigures,
} from './failover-gap/loss-run.js';
import {LOSS_SCENARIOS, type LossScenario, type PlatformState} from './failover-gap/losses.js';
import {
	CLAIM_REQUIRED, NO_REACHABILITY_REPORTS, POLLS_ONLY, PRODUCT,
} from './failover-gap/policies.js';
import {runPlannedChange} from './failover-gap/planned-change-run.js';
import {createMeasure, getPercentile} from './statistics.js';

/** Runs every loss scenario with a stream of filings, on a simulated system with a group like the users' busiest one, in virtual time. */
export const failoverGap: Experiment = {
	name: 'failover-gap',
	description: 'Time without an acknowledged filing after a loss of the primary, its parts, needless promotions and planned changes',
	run,
};

const NO_LOSS_MS = 720_000;
const PLATFORMS: readonly PlatformState[] = ['up', 'slow', 'silent'];

async function run(options: ExperimentOptions): Promise<ExperimentResult> {
	const gaps: number[] = [];
	const measures: Measure[] = [];
	for (const loss of LOSS_SCENARIOS) {
		for (const platform of PLATFORMS) {
			const figures = await runSeeds(options, PRODUCT, loss, platform);
			gaps.push(...figures.map(({gapMs}) => gapMs));
			measures.push(...describeLoss(`${loss.name}, platform ${platform}`, figures, true));
		}
	}

	measures.unshift(
		createMeasure('gap, median over all losses', 'ms', [getPercentile(gaps, 0.5)]),
		createMeasure('gap, longest of all losses', 'ms', [Math.max(...gaps)]),
	);
	measures.push(...await measurePlannedChange(options), ...await measureWithoutLoss(options, PRODUCT));

	return {
		name: failoverGap.name,
		description: failoverGap.description,
		seeds: options.seeds,
		setting: {
			proxies: 9, servers: 3, connections: 35, slots: 2, 'one way (ms)': 1.5, 'filings/s': 1000 / FILING_INTERVAL_MS, 'loss lasts (ms)': LOSS_MS, 'calm time a seed (s)': NO_LOSS_MS / 1000,
		},
		measures,
		baselines: await runBaselines(options),
		plots: [],
	};
}

async function runBaselines(options: ExperimentOptions): Promise<readonly Variant[]> {
	const baselines: Variant[] = [];
	for (const [policy, platform] of [[CLAIM_REQUIRED, 'slow'], [CLAIM_REQUIRED, 'silent'], [POLLS_ONLY, 'up'], [NO_REACHABILITY_REPORTS, 'up']] as const) {
		const measures: Measure[] = [];
		for (const loss of LOSS_SCENARIOS.filter(({name}) => name === 'killed' || name === 'frozen')) {
			measures.push(...describeLoss(`${loss.name}, platform ${platform}`, await runSeeds(options, policy, loss, platform), false));
		}

		if (policy === NO_REACHABILITY_REPORTS) {
			measures.push(...await measureWithoutLoss(options, policy));
		}

		baselines.push({name: policy.name, measures});
	}

	return baselines;
}

async function runSeeds({seeds, report}: ExperimentOptions, policy: GapPolicy, loss: LossScenario, platform: PlatformState): Promise<readonly LossFigures[]> {
	const figures: LossFigures[] = [];
	for (const seed of seeds) {
		figures.push(await runLoss(seed, policy, loss, platform));
	}

	report(`${policy.name}: ${loss.name}, platform ${platform}: ${figures.map(({gapMs}) => Math.round(gapMs)).join(' ')} ms`);
	return figures;
}

function describeLoss(name: string, figures: readonly LossFigures[], withParts: boolean): readonly Measure[] {
	const parts = figures.flatMap(each => each.parts ?? []);
	const shown = withParts && parts.length > 0 ? GAP_PARTS : [];
	return [
		createMeasure(`${name}: gap`, 'ms', figures.map(({gapMs}) => gapMs)),
		createMeasure(`${name}: longest filing`, 'ms', figures.map(({longestMs}) => longestMs)),
		createMeasure(`${name}: filings not done`, 'filings', figures.map(({failed}) => failed)),
		createMeasure(`${name}: promotions`, 'promotions', figures.map(({promotions}) => promotions)),
		...shown.map(part => createMeasure(`${name}: ${part}`, 'ms', parts.map(each => each[part]))),
	];
}

async function measurePlannedChange({seeds, report}: ExperimentOptions): Promise<readonly Measure[]> {
	const figures: LossFigures[] = [];
	for (const seed of seeds) {
		figures.push(await runPlannedChange(seed, PRODUCT));
	}

	report(`planned change: ${figures.map(({gapMs, failed}) => `${Math.round(gapMs)} ms, ${failed} failed`).join('; ')}`);
	return describeLoss('planned change', figures, false);
}

async function measureWithoutLoss({seeds, report}: ExperimentOptions, policy: GapPolicy): Promise<readonly Measure[]> {
	const promotions: number[] = [];
	for (const seed of seeds) {
		const figures = await runWithoutLoss(seed, policy, NO_LOSS_MS);
		promotions.push(figures.promotions);
	}

	report(`${policy.name}: needless promotions ${promotions.join(' ')}`);
	return [createMeasure('jitter and pauses: needless promotions in 12 minutes', 'promotions', promotions)];
}
