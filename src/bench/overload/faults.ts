import type {ExperimentOptions, Plot} from '../experiment.js';
import {CallerKind, type CallerOutcome} from './caller-model.js';
import {
	getFailedMs, getGoodput, getInTimePart, getRecoveryMs,
} from './figures.js';
import {
	comparePolicies, runOneGroup, type Figures, type ExperimentPart,
} from './part.js';
import {BASELINES, PRODUCT, type Policy} from './policies.js';
import type {GroupPlan} from './scenario.js';

/** A scenario whose fault begins after ten seconds of normal operation and ends at a set time. */
type FaultPlan = {
	readonly name: string;
	readonly endAt: number;
	readonly callers: CallerKind;
	readonly plan: GroupPlan;
};

const LENGTH_MS = 50_000;
const BEGIN_AT = 10_000;
const BEFORE = {from: 3000, to: BEGIN_AT};
const PLOT_STEP_MS = 500;

/** Speed at which no statement that has begun ends within the run. */
const SILENT_SPEED = 1e-6;

const outage: GroupPlan = {
	getLoad: () => 0.8,
	faults: [
		{
			at: BEGIN_AT,
			apply(server) {
				server.setRefusing(true);
				server.crash();
			},
		},
		{
			at: 15_000,
			apply(server) {
				server.setRefusing(false);
			},
		},
	],
};

const slowServer: GroupPlan = {
	getLoad: () => 0.8,
	faults: [
		{
			at: BEGIN_AT,
			apply(server) {
				server.setSpeed(0.2);
			},
		},
		{
			at: 20_000,
			apply(server) {
				server.setSpeed(1);
			},
		},
	],
};

const silentServer: GroupPlan = {
	getLoad: () => 0.8,
	faults: [
		{
			at: BEGIN_AT,
			apply(server) {
				server.setSpeed(SILENT_SPEED);
			},
		},
		{
			at: 15_000,
			apply(server) {
				server.setSpeed(1);
				server.crash();
			},
		},
	],
};

/** A server that crashes repeatedly while it executes statements, so that it is unknown which of them ran. */
const crashLoop: GroupPlan = {
	getLoad: () => 0.8,
	faults: Array.from({length: 50}, (_, i) => ({
		at: BEGIN_AT + (i * 100),
		apply(server) {
			server.crash();
		},
	})),
};

const burst: GroupPlan = {
	getLoad: at => at >= BEGIN_AT && at < 20_000 ? 3 : 0.7,
	faults: [],
};

const PLANS: readonly FaultPlan[] = [
	{
		name: 'outage of 5 s', endAt: 15_000, callers: CallerKind.Impatient, plan: outage,
	},
	{
		name: 'outage of 5 s, polite callers', endAt: 15_000, callers: CallerKind.Polite, plan: outage,
	},
	{
		name: 'server at a fifth for 10 s', endAt: 20_000, callers: CallerKind.Impatient, plan: slowServer,
	},
	{
		name: 'silent server for 5 s', endAt: 15_000, callers: CallerKind.Impatient, plan: silentServer,
	},
	{
		name: 'crashes every 100 ms for 5 s', endAt: 15_000, callers: CallerKind.Impatient, plan: crashLoop,
	},
	{
		name: '3x load for 10 s', endAt: 20_000, callers: CallerKind.Impatient, plan: burst,
	},
];

/** Measures the share of requests that fail during each fault and the time from its end until requests are answered as before. */
export async function runFaults(options: ExperimentOptions): Promise<ExperimentPart> {
	const measures: Array<ExperimentPart['measures']> = [];
	const baselines: Array<ExperimentPart['baselines']> = [];
	const plots: Plot[] = [];
	for (const faultPlan of PLANS) {
		options.report(faultPlan.name);
		const curves = new Map<string, readonly CallerOutcome[]>();
		const figures = await comparePolicies([PRODUCT, ...BASELINES], options, async (seed, policy) => {
			const {outcomes, tries} = await runFault(seed, policy, faultPlan);
			if (!curves.has(policy.name)) {
				curves.set(policy.name, outcomes);
			}

			return getFigures(faultPlan, outcomes, tries);
		});
		measures.push(figures.measures);
		baselines.push(figures.baselines);
		plots.push(createPlot(faultPlan.name, curves));
	}

	return {measures: measures.flat(), baselines: baselines.flat(), plots};
}

async function runFault(seed: number, policy: Policy, {plan, callers}: FaultPlan) {
	return runOneGroup(seed, {
		policy, callers, groups: [plan], lengthMs: LENGTH_MS,
	});
}

function getFigures({name, endAt}: FaultPlan, outcomes: readonly CallerOutcome[], tries: number): Figures {
	const during = {from: BEGIN_AT, to: endAt};
	return {
		[`${name}: answered in time while it lasts (part)`]: getInTimePart(outcomes, during),
		[`${name}: deadline class answered in time while it lasts (part)`]: getInTimePart(outcomes, during, 'deadline'),
		[`${name}: refused or given up after, median (ms)`]: getFailedMs(outcomes, during, 0.5),
		[`${name}: recovery after its end (ms)`]: getRecoveryMs(outcomes, BEFORE, endAt, LENGTH_MS),
		[`${name}: answered in time in the 10 s after it (part)`]: getInTimePart(outcomes, {from: endAt, to: endAt + 10_000}),
		[`${name}: tries a request (tries)`]: tries / outcomes.length,
	};
}

/** Creates a plot of goodput over time, of the first seed. */
function createPlot(title: string, curves: ReadonlyMap<string, readonly CallerOutcome[]>): Plot {
	const steps = Array.from({length: 60}, (_, i) => 5000 + (i * PLOT_STEP_MS));
	return {
		title: `Answered in time, ${title}`,
		xLabel: 's',
		yLabel: 'requests a second',
		series: [...curves].map(([name, outcomes]) => ({
			name,
			points: steps.map(from => ({x: from / 1000, y: getGoodput(outcomes, {from, to: from + PLOT_STEP_MS})})),
		})),
	};
}
