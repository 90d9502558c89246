import fc from 'fast-check';
import {leaseSchedules, type LeaseSchedule} from './lease-schedule.js';
import {playLeaseSchedule, type LeaseOutcome} from './play-lease-schedule.js';

/** Result of a check. */
export type LeaseReport = {
	/** Number of schedules played up to the first violation, or of all. */
	readonly schedules: number;
	readonly figures: LeaseOutcome['figures'];
	readonly counterexample?: {readonly schedule: LeaseSchedule; readonly violations: readonly string[]};
};

/** Plays random schedules of the failover lease until one violates a guarantee. */
export async function checkLeaseSchedules({runs, seed}: {readonly runs: number; readonly seed: number}): Promise<LeaseReport> {
	const figures = {orders: 0, releases: 0, handOvers: 0};
	let schedules = 0;
	const details = await fc.check(fc.asyncProperty(leaseSchedules, async schedule => {
		const outcome = await playLeaseSchedule(schedule);
		schedules++;
		for (const name of Object.keys(figures) as Array<keyof typeof figures>) {
			figures[name] += outcome.figures[name];
		}

		return outcome.violations.length === 0;
	}), {numRuns: runs, seed, endOnFailure: true});
	const schedule = details.counterexample?.[0];
	if (!schedule) {
		return {schedules, figures};
	}

	const {violations} = await playLeaseSchedule(schedule);
	return {schedules, figures, counterexample: {schedule, violations}};
}
