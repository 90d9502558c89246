import {expect} from 'chai';
import {runLeadSchedule} from './run-lead-schedule.js';

/**
 * A member's acknowledged night must not vanish, a coach must not read data older than the route allows, and a caller
 * who was told that nothing is kept must not find it kept, whatever fails: endpoints crash, lag and are cut off, proxies are
 * killed and suspended, the store is down, slow, loses answers or turns some proxies away, and several of these at once.
 */
describe('random schedules over the real decisions about primaries', () => {
	for (const seed of [1, 2, 3, 4, 5, 6]) {
		it(`keeps every promise and serves again afterwards: seed ${seed}`, async () => {
			const {violations, servedAfterwards, figures} = await runLeadSchedule(seed);
			expect(violations).to.deep.equal([]);
			expect(servedAfterwards).to.equal(true);
			expect(figures.acknowledged).to.be.greaterThan(100);
		});
	}
});
