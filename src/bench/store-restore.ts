import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {createMeasure} from './statistics.js';
import {simulateRestore, PrimaryLoss, type RestoreFigures} from './store-restore/simulate-restore.js';

/** Restores the store from a backup while fleets of several sizes use it, in virtual time. */
export const storeRestore: Experiment = {
	name: 'store-restore',
	description: 'What callers and the operator get while the store comes back from an older copy, by size of the fleet',
	run,
};

const SIZES = [3, 9, 40, 300] as const;

const LOST_CHANGES = [0, 30] as const;

const FIGURES: ReadonlyArray<readonly [name: string, unit: string, pick: (figures: RestoreFigures) => number]> = [
	['a new configuration at all hosts', 'ms', ({applyMs}) => applyMs],
	['longest time without a write', 'ms', ({writeGapMs}) => writeGapMs],
	['writes not acknowledged', 'writes', ({refused}) => refused],
	['calls to the store in 5 s', 'calls', ({storeCalls}) => storeCalls],
];

async function run({seeds, report}: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const hosts of SIZES) {
		for (const lostChanges of LOST_CHANGES) {
			const name = `${hosts} hosts, ${lostChanges} changes lost`;
			report(name);
			variants.push({name, measures: await measureRestores(hosts, lostChanges, seeds)});
		}
	}

	return {
		name: storeRestore.name,
		description: storeRestore.description,
		seeds,
		setting: {'store away, ms': 1000, 'promotion, ms': 600},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureRestores(hosts: number, lostChanges: number, seeds: readonly number[]): Promise<readonly Measure[]> {
	const measures: Measure[] = [];
	for (const primaryLoss of Object.values(PrimaryLoss)) {
		const runs: RestoreFigures[] = [];
		for (const seed of seeds) {
			runs.push(await simulateRestore({
				hosts, lostChanges, primaryLoss, seed,
			}));
		}

		for (const [figure, unit, pick] of FIGURES) {
			measures.push(createMeasure(`${figure}, primary lost ${primaryLoss}`, unit, runs.map(figures => pick(figures))));
		}
	}

	return measures;
}
