import {expect} from 'chai';
import {TurnedAway} from './configuration-faults.js';
import {runConfigurationSchedule} from './run-configuration-schedule.js';

/** Guards against an added route that is refused as unknown, and a dropped one that is served, while the store turns hosts away. */
describe('random schedules of versions and faults', () => {
	function doTest(seed: number, turnedAway: TurnedAway, why: string) {
		it(`refuse no added route as unknown and serve no dropped one: seed ${seed}, ${why}`, async () => {
			const {violations, figures} = await runConfigurationSchedule(seed, {turnedAway});
			expect(violations).to.deep.equal([]);
			expect(figures.stable + figures.stableAlone).to.be.greaterThan(200);
		});
	}

	doTest(1, TurnedAway.Few, 'the store turns a few hosts away');
	doTest(1, TurnedAway.All, 'the store turns a growing share of the hosts away');
	doTest(49, TurnedAway.Most, 'the store turns away all but one or two');
});
