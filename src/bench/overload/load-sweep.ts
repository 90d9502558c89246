import type {ExperimentOptions, Plot, Variant} from '../experiment.js';
import {CallerKind} from './caller-model.js';
import {
	getResponseMs, getGoodput, getInTimePart, getUsefulWork,
} from './figures.js';
import {
	comparePolicies, getValue, runOneGroup, SLOTS, type Figures, type ExperimentPart,
} from './part.js';
import {BASELINES, PRODUCT, type Policy} from './policies.js';

const LOADS = [0.5, 0.75, 1, 1.5, 2, 2.5, 3];
const LENGTH_MS = 25_000;
const WINDOW = {from: 5000, to: LENGTH_MS};

/** Measures steady loads from 0.5 to 3 times the server's capacity, with each kind of caller. */
export async function runLoadSweep(options: ExperimentOptions): Promise<ExperimentPart> {
	const parts: ExperimentPart[] = [];
	for (const callers of Object.values(CallerKind)) {
		options.report(`load sweep, ${callers} callers`);
		const figures = await comparePolicies([PRODUCT, ...BASELINES], options, async (seed, policy) => sweep(seed, policy, callers));
		const variants = [{name: PRODUCT.name, measures: figures.measures}, ...figures.baselines];
		parts.push({
			...figures, plots: [
				createPlot(`Answered in time, ${callers} callers`, 'requests a second', variants, load => `goodput at ${load}x, ${callers} callers`),
				createPlot(`Deadline class, 99th percentile, ${callers} callers`, 'ms', variants.slice(0, 3), load => `deadline p99 at ${load}x, ${callers} callers`),
			],
		});
	}

	return mergeParts(parts);
}

async function sweep(seed: number, policy: Policy, callers: CallerKind): Promise<Figures> {
	const figures: Record<string, number> = {};
	for (const load of LOADS) {
		const {outcomes, tries} = await runOneGroup(seed, {
			policy, callers, groups: [{getLoad: () => load, faults: []}], lengthMs: LENGTH_MS,
		});
		const at = `at ${load}x, ${callers} callers`;
		figures[`goodput ${at} (requests/s)`] = getGoodput(outcomes, WINDOW);
		figures[`useful slot time ${at} (part)`] = getUsefulWork(outcomes, WINDOW, SLOTS);
		for (const workClass of ['deadline', 'interactive', 'background'] as const) {
			figures[`${workClass} answered in time ${at} (part)`] = getInTimePart(outcomes, WINDOW, workClass);
		}

		figures[`deadline p99 ${at} (ms)`] = getResponseMs(outcomes, WINDOW, 'deadline', 0.99);
		figures[`tries a request ${at} (tries)`] = tries / outcomes.length;
	}

	const at = (load: number) => `at ${load}x, ${callers} callers`;
	figures[`goodput at 2x against 1x, ${callers} callers (part)`] = figures[`goodput ${at(2)} (requests/s)`]! / figures[`goodput ${at(1)} (requests/s)`]!;
	figures[`useful slot time at 2x against 1x, ${callers} callers (part)`] = figures[`useful slot time ${at(2)} (part)`]! / figures[`useful slot time ${at(1)} (part)`]!;
	figures[`deadline p99 at 2x against 0.5x, ${callers} callers (times)`] = figures[`deadline p99 ${at(2)} (ms)`]! / figures[`deadline p99 ${at(0.5)} (ms)`]!;
	return figures;
}

function createPlot(title: string, yLabel: string, variants: readonly Variant[], getName: (load: number) => string): Plot {
	return {
		title,
		xLabel: 'fresh requests, as a multiple of capacity',
		yLabel,
		series: variants.map(({name, measures}) => ({name, points: LOADS.map(load => ({x: load, y: getValue(measures, getName(load))}))})),
	};
}

/** Merges parts; figures of the same policy are combined under its name. */
export function mergeParts(parts: readonly ExperimentPart[]): ExperimentPart {
	const names = new Set(parts.flatMap(part => part.baselines.map(({name}) => name)));
	return {
		measures: parts.flatMap(part => part.measures),
		baselines: [...names].map(name => ({
			name,
			measures: parts.flatMap(part => part.baselines.filter(variant => variant.name === name).flatMap(({measures}) => measures)),
		})),
		plots: parts.flatMap(part => part.plots),
	};
}
