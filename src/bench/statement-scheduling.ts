import type {WaiterOrder} from '../links/waiter-order.js';
import {UrgencyOrder} from '../scheduling/urgency-order.js';
import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Variant,
} from './experiment.js';
import {createMeasure} from './statistics.js';
import {FairLevelsOrder, LatestStartOrder, StrictPriorityOrder} from './statement-scheduling/compared-orders.js';
import {CONTENDED_ROUTES, createHeaviestDay, WORKSPACE_SURGE} from './statement-scheduling/contended-load.js';
import {simulateContention, type ContendedOutcome, type ContentionFigures} from './statement-scheduling/simulate-contention.js';

/** Serves competing callers at one endpoint in several orders, in virtual time. */
export const statementScheduling: Experiment = {
	name: 'statement-scheduling',
	description: 'Value, answers within the target, waits before a refusal and opened connections where callers compete for one endpoint, by the order of waiting requests',
	run,
};

const LEAST_SHARE = 0.1;
const LIMIT = 6;
const DURATION_MS = 14_000;
const LOADS = [1, 1.5, 2];

/** Workspaces that surge, and those of about their size that do not. */
const SURGING = new Set([3, 7]);
const QUIET = new Set([2, 4, 5, 6, 8]);

const ORDERS: Readonly<Record<string, () => WaiterOrder | undefined>> = {
	urgency: () => new UrgencyOrder(LEAST_SHARE),
	'strict priority with shares': () => new StrictPriorityOrder(LEAST_SHARE),
	'weighted fair queueing': () => new FairLevelsOrder(LEAST_SHARE),
	'earliest latest-start': () => new LatestStartOrder(LEAST_SHARE),
	'order of arrival, as without the feature': () => undefined,
};

const isInTarget = ({tookMs, route}: ContendedOutcome) => tookMs !== undefined && tookMs <= route.targetMs;

const getShareInTarget = (outcomes: readonly ContendedOutcome[]) => outcomes.filter(outcome => isInTarget(outcome)).length / outcomes.length;

const getValue = ({outcomes}: ContentionFigures) => outcomes.reduce((sum, outcome) =>
	sum + (outcome.tookMs === undefined ? 0 : (isInTarget(outcome) ? outcome.route.value : outcome.route.lateValue)), 0) * 1000 / DURATION_MS;

/** Outcomes of the two urgent routes while the two workspaces surge. */
const ofSurge = (outcomes: readonly ContendedOutcome[], workspaces: ReadonlySet<number>) =>
	outcomes.filter(({atMs, workspace, route}) => route.level < 2 && workspaces.has(workspace) && atMs >= WORKSPACE_SURGE.fromMs && atMs < WORKSPACE_SURGE.untilMs);

const getMedianRefusal = ({outcomes}: ContentionFigures) => {
	const times = outcomes.flatMap(({refusedAfterMs}) => refusedAfterMs).toSorted((left, right) => left - right);
	return times[Math.floor(times.length / 2)] ?? 0;
};

const FIGURES: ReadonlyArray<readonly [name: string, unit: string, pick: (figures: ContentionFigures) => number]> = [
	['value', 'a second', getValue],
	...CONTENDED_ROUTES.map(route => [`${route.name} in target`, 'of operations', ({outcomes}: ContentionFigures) => getShareInTarget(outcomes.filter(outcome => outcome.route === route))] as const),
	['surging workspaces in target', 'of operations', ({outcomes}) => getShareInTarget(ofSurge(outcomes, SURGING))],
	['quiet workspaces in target', 'of operations', ({outcomes}) => getShareInTarget(ofSurge(outcomes, QUIET))],
	['median time to a refusal', 'ms', getMedianRefusal],
	['opened', 'an operation', ({openedPerOperation}) => openedPerOperation],
];

async function run({seeds, report}: ExperimentOptions): Promise<ExperimentResult> {
	const variants: Variant[] = [];
	for (const [name, createOrder] of Object.entries(ORDERS)) {
		report(name);
		variants.push({name, measures: await measureOrder(createOrder, seeds)});
	}

	return {
		name: statementScheduling.name,
		description: statementScheduling.description,
		seeds,
		setting: {
			slots: 4, limit: LIMIT, workspaces: 83, leastShare: LEAST_SHARE, durationMs: DURATION_MS,
		},
		measures: variants[0]!.measures,
		baselines: variants.slice(1),
		plots: [],
	};
}

async function measureOrder(createOrder: () => WaiterOrder | undefined, seeds: readonly number[]): Promise<readonly Measure[]> {
	const measures: Measure[] = [];
	for (const load of LOADS) {
		const runs: ContentionFigures[] = [];
		for (const seed of seeds) {
			// Without scheduling the pool bounds nothing but by its congestion window.
			const limit = createOrder() ? LIMIT : Number.POSITIVE_INFINITY;
			runs.push(await simulateContention({
				load: createHeaviestDay(load, {burst: true, surge: true}), seed, durationMs: DURATION_MS, limit, createOrder,
			}));
		}

		for (const [name, unit, pick] of FIGURES) {
			measures.push(createMeasure(`${load}x: ${name}`, unit, runs.map(figures => pick(figures))));
		}
	}

	return measures;
}
