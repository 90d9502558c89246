import {expect} from 'chai';
import {allocateShares} from '../../src/endpoint-room/allocate-shares.js';
import {getReportIntervalMs} from '../../src/endpoint-room/report-interval.js';
import {createRoomReports} from '../../src/endpoint-room/room-reports.js';
import {createRoomShare} from '../../src/endpoint-room/room-share.js';
import {getTotalRoom} from '../../src/endpoint-room/total-room.js';

const HOSTS = ['a', 'b', 'c'];

describe('shares of a concurrency budget', () => {
	/** Guards against a busy pool host that is held to an equal share while others are idle, and against one that gets none at all. */
	function doTest(name: string, total: number, demands: readonly number[], expected: readonly number[]) {
		it(name, () => {
			expect(allocateShares(total, demands)).to.deep.equal(expected);
		});
	}

	doTest('follow demand where all want more', 9, [12, 6, 6], [5, 2, 2]);
	doTest('give a small demand what it needs', 9, [2, 40, 40], [1, 4, 4]);
	doTest('leave places for the next statements once all demand is met', 9, [1, 1, 2], [3, 3, 3]);
	doTest('go to the only host with demand', 7, [30], [7]);
	doTest('are at least one each, also beyond the total', 6, [9, 9, 9, 9, 9, 9, 9, 9], [1, 1, 1, 1, 1, 1, 1, 1]);

	it('add up to the total for any demand', () => {
		for (let i = 0; i < 200; i++) {
			const demands = [i % 7, (i * 5) % 31, (i * 3) % 11];
			const shares = allocateShares(9, demands);
			expect(shares.reduce((sum, share) => sum + share, 0), demands.join(' ')).to.equal(9);
			expect(Math.min(...shares)).to.be.at.least(1);
		}
	});

	it('come out of a budget of the slots and a margin', () => {
		expect([getTotalRoom(4, 1.5), getTotalRoom(6, 1.5), getTotalRoom(1, 1.5), getTotalRoom(40, 1)]).to.deep.equal([6, 9, 3, 42]);
	});
});

describe('reports of demand', () => {
	it('leave one place to each pool host without a report, and the rest to those that report', () => {
		const reports = createRoomReports();
		reports.note('a', {inFlight: 4, queued: 20}, 0);
		expect(reports.getShare('a', HOSTS, 6, 0)).to.equal(4);
	});

	/** Guards against places that are reserved for a pool host which has died: the others would be held to less than the endpoint can run. */
	it('count until 300 ms have passed without another one', () => {
		const reports = createRoomReports();
		reports.note('a', {inFlight: 4, queued: 20}, 0);
		reports.note('b', {inFlight: 4, queued: 20}, 0);
		reports.note('a', {inFlight: 4, queued: 20}, 299);
		expect(reports.getShare('a', HOSTS, 9, 299)).to.equal(4);
		reports.note('a', {inFlight: 4, queued: 20}, 300);
		expect(reports.getShare('a', HOSTS, 9, 300)).to.equal(7);
	});

	it('of less demand take effect over some reports', () => {
		const reports = createRoomReports();
		reports.note('a', {inFlight: 4, queued: 12}, 0);
		reports.note('b', {inFlight: 4, queued: 12}, 0);
		reports.note('b', {inFlight: 0, queued: 0}, 100);
		expect(reports.getShare('b', HOSTS, 9, 100)).to.equal(3);
		reports.note('b', {inFlight: 0, queued: 0}, 200);
		reports.note('b', {inFlight: 0, queued: 0}, 300);
		reports.note('a', {inFlight: 4, queued: 12}, 300);
		expect(reports.getShare('a', HOSTS, 9, 300)).to.equal(7);
	});

	/** Guards against control traffic beyond 2 KB/s of a host that is pool host of many endpoints; each report takes about 130 bytes with its response. */
	it('are rarer from a host that reports on many endpoints', () => {
		for (const endpoints of [4, 7, 11, 52]) {
			expect(endpoints * 1000 / getReportIntervalMs(endpoints)).to.be.within(4, 8);
		}

		expect([1, 2].map(endpoints => getReportIntervalMs(endpoints))).to.deep.equal([100, 100]);
	});

	it('of a host that is on no list here share the same total', () => {
		const reports = createRoomReports();
		for (const host of [...HOSTS, 'd']) {
			reports.note(host, {inFlight: 4, queued: 12}, 0);
		}

		expect([...HOSTS, 'd'].map(host => reports.getShare(host, HOSTS, 9, 0))).to.deep.equal([3, 2, 2, 2]);
	});
});

describe('a pool host\'s share', () => {
	it('is the granted one until it ends or a report fails, and else the equal share', () => {
		const share = createRoomShare();
		expect(share.getLimit(2, 0)).to.equal(2);
		share.noteGranted(5, 300);
		expect([share.getLimit(2, 299), share.getLimit(2, 300)]).to.deep.equal([5, 2]);
		share.noteGranted(5, 600);
		share.noteFailed('a', 400);
		expect(share.getLimit(2, 400)).to.equal(2);
	});

	/**
	 * Guards against two allocators after a suspension: the report that was on its way has no response in time, though the allocator is alive. One that is dead stays skipped, also while
	 * the list of hosts cannot change, and is asked again from time to time.
	 */
	it('comes from the next pool host after two reports without a response, until the first responds again', () => {
		const share = createRoomShare();
		expect([share.noteFailed('a', 0), share.getAllocator(HOSTS)]).to.deep.equal([false, 'a']);
		expect([share.noteFailed('a', 100), share.getAllocator(HOSTS)]).to.deep.equal([true, 'b']);
		expect([share.takeProbe(HOSTS, 500), share.takeProbe(HOSTS, 600), share.takeProbe(HOSTS, 700)]).to.deep.equal([undefined, 'a', undefined]);
		expect(share.takeProbe(HOSTS, 1600)).to.equal('a');
		share.noteResponding('a');
		expect(share.getAllocator(HOSTS)).to.equal('a');
	});
});
