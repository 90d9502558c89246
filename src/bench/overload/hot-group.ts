import type {ExperimentOptions} from '../experiment.js';
import {CallerKind} from './caller-model.js';
import {getInTimePart} from './figures.js';
import {
	measureSeeds, SLOTS, type Figures, type ExperimentPart,
} from './part.js';
import {PRODUCT} from './policies.js';
import {runScenario, type Fault, type GroupPlan} from './scenario.js';
import {USERS_MIX} from './traffic.js';

const LENGTH_MS = 30_000;
const WINDOW = {from: 10_000, to: 25_000};

/** A group whose server crashes every 50 ms while its callers send five times its capacity. */
const hot: GroupPlan = {
	getLoad: () => 5,
	faults: createCrashes(50),
};

/** Groups whose server crashes and cuts its connections every 500 ms, so that some of their requests need a retry. */
const calm: GroupPlan = {
	getLoad: () => 0.6,
	faults: createCrashes(500),
};

function createCrashes(everyMs: number): readonly Fault[] {
	return Array.from({length: Math.floor(LENGTH_MS / everyMs)}, (_, i) => ({
		at: i * everyMs,
		apply(server) {
			server.crash();
		},
	}));
}

/** Measures whether one hot group affects two calm ones, with a retry budget for each group and with one for all. */
export async function runHotGroup({seeds, report}: ExperimentOptions): Promise<ExperimentPart> {
	report('hot group');
	return {
		measures: await measureSeeds(seeds, async seed => getFigures(seed, [calm, hot, calm], false)),
		baselines: [
			{name: 'one retry budget for all groups', measures: await measureSeeds(seeds, async seed => getFigures(seed, [calm, hot, calm], true))},
			{name: 'no hot group', measures: await measureSeeds(seeds, async seed => getFigures(seed, [calm, calm, calm], false))},
		],
		plots: [],
	};
}

async function getFigures(seed: number, groups: readonly GroupPlan[], hasSharedBudget: boolean): Promise<Figures> {
	const [first, , third] = await runScenario({
		seed, policy: PRODUCT, callers: CallerKind.Single, mix: USERS_MIX, slots: SLOTS, owners: 1, groups, hasSharedBudget, lengthMs: LENGTH_MS,
	});
	const outcomes = [...first!.outcomes, ...third!.outcomes];
	return {'calm groups beside a hot one: answered in time (part)': getInTimePart(outcomes, WINDOW)};
}
