import fc from 'fast-check';
import type {GuardBreak} from './guard-breaks.js';
import type {Figures} from './history.js';
import {runSchedule} from './run-schedule.js';
import {scheduleArbitrary, type Schedule, type Step} from './schedule.js';

/** Options of {@link checkSchedules}. */
export type CheckOptions = {
	/** Maximum number of schedules to run. */
	readonly runs: number;
	readonly seed: number;
	readonly guardBreak?: GuardBreak;
	/** Whether to search for a shorter schedule after a violation. */
	readonly shrinks?: boolean;
};

/** Result of a check. */
export type CheckReport = {
	/** Number of schedules run up to the first violation, or of all. */
	readonly schedules: number;
	readonly steps: number;
	/** Number of times at which a task, packet or timer continued. */
	readonly wakes: number;
	readonly figures: Figures;
	readonly counterexample?: Counterexample;
};

/** A schedule that violates a guarantee. */
export type Counterexample = {
	readonly schedule: Schedule;
	readonly violations: readonly string[];
	/** Number of steps of the schedule before it was shortened. */
	readonly foundSteps: number;
};

/** Runs random schedules until one violates a guarantee. */
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

	// Each refusal and each abort creates an error. Its stack is not used here, and collecting it takes a third of the time.
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

/** Removes every step without which the schedule still violates a guarantee, or replaces it by a wait. */
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
