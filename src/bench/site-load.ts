import {build as buildHistogram} from 'hdr-histogram-js';
import type {
	Experiment, ExperimentOptions, ExperimentResult, Measure, Plot, PlotSeries, Variant,
} from './experiment.js';
import {
	BASELINE_PLACEMENTS, COMPLETION_TIME, COST_BASED, COST_BASED_WITH_ESTIMATES, LOWEST_TIME, type PlacementPolicy,
} from './site-load/placements.js';
import {createFaultMeasures, FAULT_DAYS} from './site-load/fault-measures.js';
import {simulateSite, type SiteRun} from './site-load/simulate-site.js';
import type {RequestOutcome} from './site-load/site-callers.js';
import {
	FILINGS, PARCELS, SLEEP_LOGS, type SiteShape,
} from './site-load/site-shapes.js';
import {SITE_DAY} from './site-load/site-phases.js';
import {getCredit} from './site-load/credit.js';
import {createMeasure} from './statistics.js';

/** Simulates the requests of both sites during bursts and with slow, lagging and crashed servers, for each read placement, in virtual time. */
export const siteLoad: Experiment = {
	name: 'site-load',
	description: 'What callers get on a day of troubles at both sites, by ways of placing reads, against true loads known',
	run,
};

/** Length of the windows of which the one with the lowest credit is reported, in milliseconds. */
const WINDOW_MS = 2000;

const PERCENTILES = [50, 99] as const;

async function run(options: ExperimentOptions): Promise<ExperimentResult> {
	const plots: Plot[] = [];
	const measures = new Map<PlacementPolicy, Measure[]>();
	for (const site of [SLEEP_LOGS, FILINGS]) {
		const series: PlotSeries[] = [];
		for (const placement of [COST_BASED, ...BASELINE_PLACEMENTS]) {
			const results: SiteRun[] = [];
			for (const seed of options.seeds) {
				results.push(await simulateSite(site, SITE_DAY, placement, seed));
			}

			measures.set(placement, [...measures.get(placement) ?? [], ...createMeasures(site, results)]);
			series.push({name: placement.name, points: getCreditByWindow(results[0]!)});
			options.report(`${site.name}: ${placement.name}: credit ${results.map(({outcomes}) => getCredit(outcomes).toFixed(3)).join(' ')}`);
		}

		plots.push({
			title: `${site.name}: credit by second`, xLabel: 's', yLabel: 'share of the worth', series,
		});
	}

	for (const placement of [COST_BASED, COMPLETION_TIME, LOWEST_TIME, COST_BASED_WITH_ESTIMATES]) {
		for (const {name, day} of FAULT_DAYS) {
			const results: SiteRun[] = [];
			for (const seed of options.seeds) {
				results.push(await simulateSite(PARCELS, day, placement, seed));
			}

			measures.set(placement, [...measures.get(placement) ?? [], ...createFaultMeasures(name, day, results)]);
			options.report(`${PARCELS.name}, ${name}: ${placement.name}: credit ${results.map(({outcomes}) => getCredit(outcomes).toFixed(3)).join(' ')}`);
		}
	}

	const [product, ...others] = [...measures].map(([{name}, list]): Variant => ({name, measures: list}));
	return {
		name: siteLoad.name,
		description: siteLoad.description,
		seeds: options.seeds,
		setting: {stretches: SITE_DAY.map(({name, lengthMs, rate}) => `${name} (${lengthMs} ms, rate ${rate})`).join('; ')},
		measures: product!.measures,
		baselines: others,
		plots,
	};
}

function createMeasures(site: SiteShape, results: readonly SiteRun[]): readonly Measure[] {
	const measure = (name: string, unit: string, get: (result: SiteRun) => number) => createMeasure(`${site.name}: ${name}`, unit, results.map(result => get(result)));
	return [
		measure('credit', 'of 1', ({outcomes}) => getCredit(outcomes)),
		measure(`worst ${WINDOW_MS / 1000} s`, 'of 1', result => Math.min(...getCreditByWindow(result).map(({y}) => y))),
		measure('requests never done', 'requests', ({outcomes}) => outcomes.filter(({tookMs}) => tookMs === undefined).length),
		measure('reads at replicas', '%', ({placed}) => 100 * placed.replicas / placed.reads),
		measure('reads in the host\'s own zone', '%', ({placed}) => 100 * placed.near / placed.reads),
		...site.requests.flatMap(shape => [
			measure(`${shape.name}: credit`, 'of 1', ({outcomes}) => getCredit(outcomes.filter(outcome => outcome.shape === shape))),
			...PERCENTILES.map(percentile => measure(`${shape.name}: p${percentile}`, 'ms', ({outcomes}) => getTimePercentile(outcomes.filter(outcome => outcome.shape === shape), percentile))),
		]),
		...SITE_DAY.map((stretch, i) => measure(`${stretch.name}: credit`, 'of 1', ({outcomes, begunAt}) => {
			const from = begunAt[i]!.at;
			return getCredit(outcomes.filter(({sentAt}) => sentAt >= from && sentAt < from + stretch.lengthMs));
		})),
	];
}

/** Returns a percentile of the response times of completed requests, in milliseconds. */
function getTimePercentile(outcomes: readonly RequestOutcome[], percentile: number): number {
	const histogram = buildHistogram();
	for (const {tookMs} of outcomes) {
		if (tookMs !== undefined) {
			histogram.recordValue(Math.round(tookMs));
		}
	}

	return histogram.getValueAtPercentile(percentile);
}

/** Returns the credit of the requests sent in each window, by the second at which the window begins. */
function getCreditByWindow({outcomes, begunAt}: SiteRun) {
	const start = begunAt[0]!.at;
	const lengthMs = SITE_DAY.reduce((sum, stretch) => sum + stretch.lengthMs, 0);
	return Array.from({length: Math.floor((lengthMs - WINDOW_MS) / 1000) + 1}, (_, second) => {
		const from = start + (second * 1000);
		return {x: second, y: getCredit(outcomes.filter(({sentAt}) => sentAt >= from && sentAt < from + WINDOW_MS))};
	});
}
