import {expect} from 'chai';
import {getCredit} from '../../src/bench/site-load.js';
import {BY_MILLISECONDS, WEIGHED, type PlacementWay} from '../../src/bench/site-load/placements.js';
import {playSite} from '../../src/bench/site-load/play-site.js';
import {SLEEP_LOGS} from '../../src/bench/site-load/site-shapes.js';
import {SITE_DAY} from '../../src/bench/site-load/site-troubles.js';

/** Calm times, a burst and the time after it. */
const BURST_DAY = SITE_DAY.slice(0, 3);

/**
 * Three times as many members wake up at once. What they upload can run at primaries only, and coaches' reads that flee there from
 * busy replicas take the place of the uploads, whose credit falls first.
 */
describe('a burst at the sleep logs', () => {
	const getSyncCredit = async (way: PlacementWay) => {
		const {outcomes} = await playSite(SLEEP_LOGS, BURST_DAY, way, 1);
		return getCredit(outcomes.filter(({shape}) => shape.name === 'sync'));
	};

	it('leaves what only primaries serve nine tenths of its credit, more than with weights in milliseconds', async () => {
		const credit = await getSyncCredit(WEIGHED);
		expect(credit).to.be.greaterThan(0.9);
		expect(credit).to.be.greaterThan(await getSyncCredit(BY_MILLISECONDS));
	});

	it('plays the same twice', async () => {
		const [first, second] = [await playSite(SLEEP_LOGS, BURST_DAY.slice(0, 1), WEIGHED, 2), await playSite(SLEEP_LOGS, BURST_DAY.slice(0, 1), WEIGHED, 2)];
		expect(first.outcomes.map(({tookMs}) => tookMs)).to.deep.equal(second.outcomes.map(({tookMs}) => tookMs));
	});
});
