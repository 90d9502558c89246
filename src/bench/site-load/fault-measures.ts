import type {Measure} from '../experiment.js';
import {createMeasure} from '../statistics.js';
import {getCredit} from './credit.js';
import type {SiteRun} from './simulate-site.js';
import type {RequestOutcome} from './site-callers.js';
import {LAG_DAY, OUTLIER_DAY, type SitePhase} from './site-phases.js';

/** The days on which one group's endpoints lag, are slow or fail while the other groups have room. */
export const FAULT_DAYS: ReadonlyArray<{readonly name: string; readonly day: readonly SitePhase[]}> = [
	{name: 'replicas that lag', day: LAG_DAY},
	{name: 'an endpoint that is slow or fails', day: OUTLIER_DAY},
];

/** Length of the windows in which an overload is looked for, in milliseconds. */
const WINDOW_MS = 250;

/** An overload lasts while more than this share of the requests of a window is refused or late. */
const OVERLOAD_SHARE = 0.02;

/** Creates the measures of each phase of a day: answered in time, refused, and for how long the overload outlasts the phase's fault. */
export function createFaultMeasures(dayName: string, day: readonly SitePhase[], results: readonly SiteRun[]): readonly Measure[] {
	const measure = (name: string, unit: string, get: (result: SiteRun) => number) => createMeasure(`${dayName}: ${name}`, unit, results.map(result => get(result)));
	return day.flatMap((phase, i) => {
		const getSent = ({outcomes, begunAt}: SiteRun) => selectSent(outcomes, begunAt[i]!.at, phase.lengthMs);
		return [
			measure(`${phase.name}: credit`, 'of 1', result => getCredit(getSent(result))),
			measure(`${phase.name}: answered in time`, '%', result => getPercentage(getSent(result), isInTime)),
			measure(`${phase.name}: refused at least once`, '%', result => getPercentage(getSent(result), ({refusals}) => refusals > 0)),
			measure(`${phase.name}: overload after its end`, 's', result => getOverloadMs(result, result.begunAt[i]!.at + phase.lengthMs) / 1000),
		];
	});
}

function selectSent(outcomes: readonly RequestOutcome[], from: number, lengthMs: number) {
	return outcomes.filter(({sentAt}) => sentAt >= from && sentAt < from + lengthMs);
}

function isInTime({tookMs, shape}: RequestOutcome) {
	return tookMs !== undefined && tookMs <= shape.targetLatencyMs;
}

function getPercentage(outcomes: readonly RequestOutcome[], matches: (outcome: RequestOutcome) => boolean) {
	return 100 * outcomes.filter(outcome => matches(outcome)).length / Math.max(1, outcomes.length);
}

/** Returns the time from `end` until requests that are sent are no longer refused or late, in milliseconds. */
function getOverloadMs({outcomes}: SiteRun, end: number): number {
	let at = end;
	for (;;) {
		const sent = selectSent(outcomes, at, WINDOW_MS);
		const failing = sent.filter(outcome => outcome.refusals > 0 || !isInTime(outcome)).length;
		if (failing <= OVERLOAD_SHARE * sent.length) {
			return at - end;
		}

		at += WINDOW_MS;
	}
}
