import {expect} from 'chai';
import {checkLeaseSchedules} from './check-lease-schedules.js';
import {MISSING_GUARDS} from './missing-guards.js';
import {playLeases} from './play-leases-in-process.js';

/** Number of schedules; `npm run check:leads -- --lease --count N` plays more. */
const SCHEDULES = 600;

const SEED = 1;

/** Guards against two holders of the failover lease, and against orders with a token below one that came before. */
describe('random schedules of the failover lease', () => {
	it('show no two holders, and orders whose tokens never fall', async () => {
		const {counterexample, figures} = await checkLeaseSchedules({runs: SCHEDULES, seed: SEED});
		expect(counterexample).to.equal(undefined);
		expect(figures.handOvers).to.be.greaterThan(10);
	});

	for (const guard of MISSING_GUARDS.filter(({isOfLease}) => isOfLease)) {
		it(`find the absence of ${guard.without}`, async () => {
			const {counterexample} = await playLeases({runs: SCHEDULES, seed: SEED, guard});
			expect(counterexample).to.not.equal(undefined);
		});
	}
});
