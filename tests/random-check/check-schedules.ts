import fc from 'fast-check';
import type {GuardBreak} from './guard-breaks.js';
import type {Figures} from './history.js';
import {runSchedule} from './run-schedule.js';
import {scheduleArbitrary, type Schedule, type Step} from './schedule.js';

/** What is checked. */
export type CheckOptions = {
	/** Schedules to run, at most. */
	readonly runs: number;
	readonly seed: number;
	readonly guardBreak?: GuardBreak;
	/** Looks for a shorter schedule after a violation. */
	readonly shrinks?: boolean;
};

/** What a check did and found. */
export type CheckReport = {
	/** Schedules run up to the first violation, or all. */
	readonly schedules: number;
	readonly steps: number;
	/** Moments at which some task, packet or timer went on. */
	readonly wakes: number;
	readonly figures: Figures;
	readonly counterexample?: Counterexample;
};

/** A schedule that violates an assert. */
export type Counterexample = {
	readonly schedule: Schedule;
	readonly violations: readonly string[];
	/** Steps of the schedule as it was found. */
	readonly foundSteps: number;
};

/** Runs random schedules until one violates an assert. */
export async function checkSchedules({runs, seed, guardBreak, shrinks = false}: CheckOptions): Promise<CheckReport> {
	const totals = {schedules: 0, steps: 0, wakes: 0};
	const figures: Figures = {
		acknowledged: 0, notRun: 0, unknown: 0, promotions: 0, reads: 0,
	};
	let found: Schedule | undefined;

	const property = fc.asyncProperty(scheduleArbitrary, async schedule => {
		const end = await runSchedule(schedule, guardBreak);
		if (!found) {
			totals.schedules++;
			totals.steps += schedule.steps.length;
			totals.wakes += end.wakes;
			for (const name of Object.keys(figures) as Array<keyof Figures>) {
				figures[name] += end.figures[name];
			}
		}

		if (end.violations.length > 0) {
			found ??= schedule;
			return false;
		}

		return true;
	});

	// Each refusal and each abort makes an error; nobody reads their stacks here, and they cost a third of the time.
	const {stackTraceLimit} = Error;
	Error.stackTraceLimit = 0;
	try {
		const details = await fc.check(property, {numRuns: runs, seed, endOnFailure: !shrinks});
		const failing = details.counterexample?.[0];
		if (!failing) {
			return {...totals, figures};
		}

		const schedule = shrinks ? await dropSteps(failing, guardBreak) : failing;
		const {violations} = await runSchedule(schedule, guardBreak);
		return {...totals, figures, counterexample: {schedule, violations, foundSteps: found!.steps.length}};
	} finally {
		Error.stackTraceLimit = stackTraceLimit;
	}
}

/** Leaves out every step without which the schedule still violates an assert, or puts a mere wait in its place. */
async function dropSteps(schedule: Schedule, guardBreak: GuardBreak | undefined): Promise<Schedule> {
	let shortest = schedule;
	for (let index = schedule.steps.length - 1; index >= 0; index--) {
		const {ms} = shortest.steps[index]!;
		const substitutes: Array<readonly Step[]> = [[], [{kind: 'wait', ms}]];
		for (const substitute of substitutes) {
			const shorter = {...shortest, steps: shortest.steps.toSpliced(index, 1, ...substitute)};
			const {violations} = await runSchedule(shorter, guardBreak);
			if (violations.length > 0) {
				shortest = shorter;
				break;
			}
		}
	}

	return shortest;
}
