import {FixedLimit} from '../../admission/concurrency-limit.js';
import type {ExperimentOptions} from '../experiment.js';
import {getResponseMs, getInTimePart, getUsefulWork} from './figures.js';
import {
	comparePolicies, runOneGroup, SLOTS, type Figures, type ExperimentPart,
} from './part.js';
import {createProductPolicy, PRODUCT, type Policy} from './policies.js';

const LOADS = [0.8, 1, 2];
const LENGTH_MS = 25_000;
const WINDOW = {from: 5000, to: LENGTH_MS};

/** Numbers of configured owners, and of those that send statements. */
const SETTINGS = [
	{owners: 1, activeOwners: 1},
	{owners: 2, activeOwners: 2},
	{owners: 2, activeOwners: 1},
	{owners: 3, activeOwners: 3},
];

const POLICIES: readonly Policy[] = [
	PRODUCT,
	...[2, 3, 4, 5].map(limit => createProductPolicy(`limit of ${limit} an owner`, {limit: new FixedLimit(limit)})),
];

/** Compares concurrency limits where several owners send statements to one server. */
export async function runSharedServer(options: ExperimentOptions): Promise<ExperimentPart> {
	options.report('owners that share a server');
	return {...await comparePolicies(POLICIES, options, getFigures), plots: []};
}

async function getFigures(seed: number, policy: Policy): Promise<Figures> {
	const figures: Record<string, number> = {};
	for (const {owners, activeOwners} of SETTINGS) {
		for (const load of LOADS) {
			const {outcomes} = await runOneGroup(seed, {
				policy, owners, activeOwners, groups: [{getLoad: () => load, faults: []}], lengthMs: LENGTH_MS,
			});
			const at = `at ${load}x, ${activeOwners} of ${owners} owners`;
			figures[`useful slot time ${at} (part)`] = getUsefulWork(outcomes, WINDOW, SLOTS);
			figures[`deadline median ${at} (ms)`] = getResponseMs(outcomes, WINDOW, 'deadline', 0.5);
			figures[`deadline p99 ${at} (ms)`] = getResponseMs(outcomes, WINDOW, 'deadline', 0.99);
			figures[`background answered in time ${at} (part)`] = getInTimePart(outcomes, WINDOW, 'background');
		}
	}

	return figures;
}
