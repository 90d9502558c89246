import {expect} from 'chai';
import {getCredit} from '../../src/bench/site-load/credit.js';
import {FIXED_PENALTIES, COST_BASED, type PlacementPolicy} from '../../src/bench/site-load/placements.js';
import {simulateSite} from '../../src/bench/site-load/simulate-site.js';
import {SLEEP_LOGS} from '../../src/bench/site-load/site-shapes.js';
import {SITE_DAY} from '../../src/bench/site-load/site-phases.js';

/** The calm phase, the burst and the phase after it. */
const BURST_DAY = SITE_DAY.slice(0, 3);

/**
 * Three times the usual number of members send requests at once. Their uploads can run at primaries only. Coaches' reads that are
 * placed at primaries because the replicas are busy delay the uploads, whose credit falls first.
 */
describe('a burst at the sleep logs', () => {
	const getSyncCredit = async (policy: PlacementPolicy) => {
		const {outcomes} = await simulateSite(SLEEP_LOGS, BURST_DAY, policy, 1);
		return getCredit(outcomes.filter(({shape}) => shape.name === 'sync'));
	};

	it('leaves requests that only primaries serve more than 0.9 of their credit, and more than with fixed penalties in milliseconds', async () => {
		const credit = await getSyncCredit(COST_BASED);
		expect(credit).to.be.greaterThan(0.9);
		expect(credit).to.be.greaterThan(await getSyncCredit(FIXED_PENALTIES));
	});

	it('yields the same outcomes for the same seed', async () => {
		const [first, second] = [await simulateSite(SLEEP_LOGS, BURST_DAY.slice(0, 1), COST_BASED, 2), await simulateSite(SLEEP_LOGS, BURST_DAY.slice(0, 1), COST_BASED, 2)];
		expect(first.outcomes.map(({tookMs}) => tookMs)).to.deep.equal(second.outcomes.map(({tookMs}) => tookMs));
	});
});
