/**
 * Runs many random schedules: `npm run check:random -- --runs N --seed S`.
 *
 * `--guard NAME` removes a guard first, to show that the check detects its absence; `--guard all` does so for each in turn.
 * `--replay JSON` runs one schedule in the printed format. `--lease` runs schedules of the failover lease instead, also with a guard of
 * `tests/lead-check/missing-guards.ts` removed.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {createSystemClock} from '../../src/time/system-clock.js';
import {getMissingGuardOrThrow, MISSING_GUARDS} from '../lead-check/missing-guards.js';
import {playLeases} from '../lead-check/play-leases-in-process.js';
import {checkSchedules, type CheckReport, type Counterexample} from './check-schedules.js';
import {getGuardBreakOrThrow, GUARD_BREAKS, type GuardBreak} from './guard-breaks.js';
import {runSchedule} from './run-schedule.js';
import type {Schedule} from './schedule.js';

const {values} = parseArgs({
	options: {
		runs: {type: 'string', default: '10000'},
		seed: {type: 'string', default: '1'},
		guard: {type: 'string'},
		replay: {type: 'string'},
		lease: {type: 'boolean', default: false},
	},
});

const clock = createSystemClock();

function describeCounterexample({schedule, violations, foundSteps}: Counterexample): string[] {
	const {steps, ...chance} = schedule;
	return [
		...violations.map(violation => `violation: ${violation}`),
		`shortest schedule found: ${steps.length} steps of ${foundSteps}, ${JSON.stringify(chance)}`,
		...steps.map((step, index) => `  ${index + 1}. ${JSON.stringify(step)}`),
		`replay: ${JSON.stringify(schedule)}`,
	];
}

function describeReport(report: CheckReport, tookMs: number): string[] {
	const {figures, counterexample} = report;
	const perSecond = (count: number) => Math.round(count * 1000 / tookMs);
	return [
		`schedules ${report.schedules}, steps ${report.steps}, wakes ${report.wakes}`,
		`acknowledged ${figures.acknowledged}, not-run ${figures.notRun}, unknown ${figures.unknown}, promotions ${figures.promotions}, reads ${figures.reads}`,
		`took ${Math.round(tookMs / 100) / 10} s, shortening included: ${perSecond(report.schedules)} schedules/s, ${perSecond(report.steps)} steps/s`,
		counterexample ? `violated in schedule ${report.schedules}` : 'no violation',
		...(counterexample ? describeCounterexample(counterexample) : []),
	];
}

async function checkOnce(guardBreak?: GuardBreak): Promise<boolean> {
	const startedAt = clock.now();
	const report = await checkSchedules({
		runs: Number(values.runs), seed: Number(values.seed), guardBreak, shrinks: true,
	});
	if (guardBreak) {
		console.log(`\nwithout ${guardBreak.name}: ${guardBreak.without}`);
	}

	console.log(describeReport(report, clock.now() - startedAt).join('\n'));
	return report.counterexample === undefined;
}

async function replay(schedule: Schedule, guardBreak?: GuardBreak): Promise<boolean> {
	const {violations, figures} = await runSchedule(schedule, guardBreak);
	console.log(JSON.stringify(figures));
	console.log(violations.length > 0 ? violations.join('\n') : 'no violation');
	return violations.length === 0;
}

function getGuardBreaks(name: string | undefined): ReadonlyArray<GuardBreak | undefined> {
	if (name === undefined) {
		return [undefined];
	}

	return name === 'all' ? GUARD_BREAKS : [getGuardBreakOrThrow(name)];
}

/** Runs schedules of the failover lease, with each guard of it removed in turn if the name is `all`; resolves to whether the whole program broke none. */
async function checkLease(): Promise<boolean> {
	const guards = values.guard === 'all' ? MISSING_GUARDS.filter(({isOfLease}) => isOfLease) : [values.guard === undefined ? undefined : getMissingGuardOrThrow(values.guard)];
	let isGood = true;
	for (const guard of guards) {
		const {schedules, figures, counterexample} = await playLeases({runs: Number(values.runs), seed: Number(values.seed), guard});
		console.log(guard ? `\nwithout ${guard.name}: ${guard.without}` : 'the failover lease');
		console.log(`schedules ${schedules}, orders ${figures.orders}, releases ${figures.releases}, hand-overs ${figures.handOvers}`);
		console.log(counterexample ? `violated: ${counterexample.violations.join('; ')}\nschedule: ${JSON.stringify(counterexample.schedule)}` : 'no violation');
		isGood &&= guard !== undefined || counterexample === undefined;
	}

	return isGood;
}

if (values.lease && !await checkLease()) {
	process.exitCode = 1;
}

for (const guardBreak of values.lease ? [] : getGuardBreaks(values.guard)) {
	const isGood = values.replay
		? await replay(JSON.parse(values.replay) as Schedule, guardBreak)
		: await checkOnce(guardBreak);
	if (!isGood && !guardBreak) {
		process.exitCode = 1;
	}
}
