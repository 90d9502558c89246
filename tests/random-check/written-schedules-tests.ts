import {expect} from 'chai';
import {getGuardBreakOrThrow, type GuardBreak} from './guard-breaks.js';
import {runSchedule} from './run-schedule.js';
import {WRITTEN_SCHEDULES} from './written-schedules.js';

describe('written schedules', () => {
	// Each schedule violates a guarantee only if its guard is missing.
	for (const {guard, schedule} of WRITTEN_SCHEDULES) {
		const doTest = (title: string, guardBreak: GuardBreak | undefined, isGood: boolean) => {
			it(title, async () => {
				const {violations} = await runSchedule(schedule, guardBreak);
				expect(violations.length === 0, violations.join('\n')).to.equal(isGood);
			});
		};

		doTest(`for ${guard}: no violation`, undefined, true);
		doTest(`for ${guard}: a violation without it`, getGuardBreakOrThrow(guard), false);
	}
});
