import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Plot, Variant,
} from './experiment.js';
import {runScenario, type Lags, type Policy} from './replica-share/scenario.js';
import {
	BASELINES, createTraffic, JUST_WROTE_PARTS, LAGS, PRODUCT, SWEPT_LAGS, USUAL_JUST_WROTE,
} from './replica-share/settings.js';
import {getFigures, type Figures} from './replica-share/share-figures.js';
import {
	CONNECTIONS, ONE_WAY_MS, OWNERS, SERVICE_MS, SLOTS,
} from './replica-share/share-system.js';
import {createMeasure} from './statistics.js';

/** Runs reads and writes through the owners of one group whose replicas lag, in virtual time. */
export const replicaShare: Experiment = {
	name: 'replica-share',
	description: 'Share of reads served by replicas, waits and stale answers by lag, age and session, against an oracle',
	run,
};

type Setting = {
	readonly lags: Lags;
	readonly justWrotePart: number;
};

async function run(options: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const policy of [PRODUCT, ...BASELINES]) {
		options.report(policy.name);
		variants.push({name: policy.name, measures: await measurePolicy(policy, options.seeds)});
	}

	const [product, ...baselines] = variants;
	const traffic = createTraffic(USUAL_JUST_WROTE);
	return {
		name: replicaShare.name,
		description: replicaShare.description,
		seeds: options.seeds,
		setting: {
			product: PRODUCT.name,
			slots: SLOTS,
			connections: CONNECTIONS,
			owners: OWNERS,
			'mean statement (ms)': SERVICE_MS,
			'one way (ms)': ONE_WAY_MS,
			'reads a second': traffic.readsPerSecond,
			'syncs a second': traffic.syncsPerSecond,
			'reads of sessions that just wrote (part)': USUAL_JUST_WROTE,
		},
		measures: product!.measures,
		baselines,
		plots: [
			createPlot('Reads on replicas', '%', variants, ({name}) => `reads on replicas, ${name}`),
			createPlot('Read latency, 99th percentile', 'ms', variants, ({name}) => `read p99, ${name}`),
		],
	};
}

function getSettings(): readonly Setting[] {
	const byLag = LAGS.map(lags => ({lags, justWrotePart: USUAL_JUST_WROTE}));
	const bySession = JUST_WROTE_PARTS.filter(part => part !== USUAL_JUST_WROTE).map(justWrotePart => ({lags: SWEPT_LAGS, justWrotePart}));
	return [...byLag, ...bySession];
}

function getSettingName({lags, justWrotePart}: Setting): string {
	return justWrotePart === USUAL_JUST_WROTE ? lags.name : `${lags.name}, just wrote ${justWrotePart * 100}%`;
}

async function measurePolicy(policy: Policy, seeds: readonly number[]): Promise<readonly Measure[]> {
	const measures: Measure[] = [];
	for (const setting of getSettings()) {
		const traffic = createTraffic(setting.justWrotePart);
		const runs: Figures[] = [];
		for (const seed of seeds) {
			runs.push(getFigures(await runScenario({policy, lags: setting.lags, traffic}, seed), traffic, getSettingName(setting)));
		}

		measures.push(...createMeasures(runs));
	}

	return measures;
}

function createMeasures(runs: readonly Figures[]): readonly Measure[] {
	return Object.keys(runs[0]!).map(key => {
		const {name, unit} = /^(?<name>.*) \((?<unit>[^\(]*)\)$/v.exec(key)!.groups!;
		return createMeasure(name!, unit!, runs.map(run => run[key]!));
	});
}

function createPlot(title: string, yLabel: string, variants: readonly Variant[], getName: (lags: Lags) => string): Plot {
	const getValue = (variant: Variant, lags: Lags) => variant.measures.find(({name}) => name === getName(lags))!.value;
	return {
		title,
		xLabel: LAGS.map(({name}, i) => `${i + 1}: ${name.replace('lags ', '')}`).join(', '),
		yLabel,
		series: variants.map(variant => ({name: variant.name, points: LAGS.map((lags, i) => ({x: i + 1, y: getValue(variant, lags)}))})),
	};
}
