import {expect} from 'chai';
import {DEFAULT_FAILOVER_SETTINGS} from '../../src/failover/failover-settings.js';
import {getPollTimes, type PollSituation} from '../../src/failover/poll-times.js';
import {createRunningWork} from '../../src/owners/running-work.js';

describe('poll times', () => {
	const doTest = (title: string, situation: PollSituation, primaryMs: number, replicaMs: number) => {
		it(title, () => {
			expect(getPollTimes(DEFAULT_FAILOVER_SETTINGS, situation)).to.deep.equal({primaryMs, replicaMs});
		});
	};

	doTest('first owner, busy', {rank: 0, idleMs: 0}, 200, 1000);
	doTest('first owner, not known to be idle', {rank: 0, idleMs: undefined}, 200, 1000);
	doTest('first owner, just not idle yet', {rank: 0, idleMs: 9999}, 200, 1000);
	doTest('first owner, idle', {rank: 0, idleMs: 10_000}, 1000, 3000);
	doTest('further owner, busy', {rank: 1, idleMs: 0}, 500, 1000);
	doTest('further owner, idle', {rank: 1, idleMs: Infinity}, 2000, 3000);
});

describe('idle time of a group', () => {
	it('counts from the last start of a request once none runs, and is 0 while one does', () => {
		// A request runs for a minute on a group that is otherwise idle. If the group counted as idle, the loss of its
		// primary during the request would be detected a second late.
		const running = createRunningWork();
		expect(running.getIdleMs(0)).to.equal(Infinity);
		const end = running.begin('hall-a-1', {what: 'read', requestId: 'report', since: 1000});
		expect(running.getIdleMs(61_000)).to.equal(0);
		end();
		end();
		expect(running.getIdleMs(61_000)).to.equal(60_000);
		running.begin('hall-a-1', {what: 'write', requestId: 'night', since: 62_000});
		expect(running.getIdleMs(90_000)).to.equal(0);
	});
});
