import {expect} from 'chai';
import {runLeadershipSchedule, type LeadershipScheduleOptions} from './run-leadership-schedule.js';

/** Six proxies that share connections, and servers that restart without their data. */
const EMPTY_RESTARTS_IN_LARGE_FLEET: LeadershipScheduleOptions = {
	lengthMs: 8000, callersPerProxy: 1, swarms: true, largeFleet: true, emptyRestarts: true,
};

/**
 * Guards against lost acknowledged writes, reads older than the route allows, and writes that take effect although their
 * caller was told that nothing is kept. The schedules combine faults at random: endpoints crash, lag and are cut off, proxies
 * are killed and suspended, and the store is down, slow, loses answers or refuses some proxies.
 */
describe('random fault schedules with the real leadership code', () => {
	function doTest(seed: number, why: string, options?: LeadershipScheduleOptions) {
		it(`violates no guarantee and serves reads again afterwards: seed ${seed}, ${why}`, async () => {
			const {violations, servedAfterwards, figures} = await runLeadershipSchedule(seed, options);
			expect(violations).to.deep.equal([]);
			expect(servedAfterwards).to.equal(true);
			expect(figures.acknowledged).to.be.greaterThan(100);
		});
	}

	for (const seed of [1, 2, 4, 6]) {
		doTest(seed, 'one of the first seeds');
	}

	for (const seed of [8, 9]) {
		doTest(seed, 'proxies are ordered to stop and primaries released', {lengthMs: 10_000, callersPerProxy: 1, stops: true});
	}

	for (const seed of [21, 72, 127, 1163]) {
		doTest(seed, 'the primary waits for a replica, and replicas are deaf or cut off', {waitsForReplica: true});
	}

	// Seeds that once failed, each with the cause.
	doTest(3, 'the stand-in made the entries that a replica had received visible out of order');
	doTest(5, 'a host that continued the replacement begun by a dead one kept the former primary, though another had been promoted');
	doTest(9015, 'a superseded primary counted as promoted as soon as it was ordered to lead again');
	doTest(9019, 'the same fault, by which a commit in the old term was acknowledged');
	doTest(1_002_670, 'the effect of an order was attributed to a later order, which was lost', {lengthMs: 8000, callersPerProxy: 1, swarms: true});
	doTest(3_002_602, 'the stand-in reported a replica that had applied nothing as one of the new term', {lengthMs: 8000, callersPerProxy: 1, swarms: true});
	doTest(5_100_075, 'a connection to an incarnation that had lost its log and looked like a replica was used as one to the recorded primary', EMPTY_RESTARTS_IN_LARGE_FLEET);
	doTest(5_100_196, 'orders to lead were sent to ended incarnations, one after the other, and to the empty ones that followed them', EMPTY_RESTARTS_IN_LARGE_FLEET);
	doTest(7_100_104, 'a new primary that had written nothing was rejected for a position of the previous term', {swarms: true});
	doTest(9_000_016, 'the same for a position of an intermediate term, of which no successor had any entry', {swarms: true});
	doTest(9_300_016, 'a read that only the primary may serve was refused at once for lack of pool hosts, again and again, and its host did nothing else', {swarms: true, largeFleet: true});
	doTest(13_030, 'a server whose log diverged at the end of an early term was promoted in preference to one that was leaving');
});
