import {expect} from 'chai';
import fc from 'fast-check';
import {playStopSchedule} from './play-stop-schedule.js';
import {stopSchedules, type StopTally} from './stop-schedule.js';

/** Number of schedules that are played; raised by hand for longer searches. */
const SCHEDULES = 70;

const SEED = 23;

/** States that the schedules must reach at the moment of an order, and answers that callers must get. */
const REACHED = [
	'stopped while opening',
	'stopped while idle',
	'stopped while busy',
	'stopped while resting',
	'stopped while requests wait for a connection',
	'stopped while its connections are checked out',
	'stopped while it uses connections of pool hosts',
	'stopped while it replaces a primary',
	'answer done',
	'answer overloaded',
	'answer aborted',
	'answer outcome-unknown',
];

/**
 * Hosts are ordered to stop while callers open sessions, read, write and pause in transactions, with requests in transit; connections are few, and some belong
 * to pool hosts that stop too. By the time a host has left, every request that it read needs an answer or a refusal, and each of these must be true.
 */
describe('hosts that are ordered to stop at any moment', () => {
	it('leave no request that they read without an outcome, and report only true outcomes', async () => {
		const tally: StopTally = {};
		await fc.assert(fc.asyncProperty(stopSchedules, async schedule => {
			expect(await playStopSchedule(schedule, tally)).to.deep.equal([]);
		}), {seed: SEED, numRuns: SCHEDULES});
		expect(REACHED.filter(what => !tally[what])).to.deep.equal([]);
	});

	/**
	 * A host without callers is ordered to stop while it replaces a primary, and has to go on until that is done. Callers still connect, since most hosts are
	 * stopping. One of them was greeted after all others had been notified and all final answers had been sent, and was never notified itself.
	 * Its request was in transit when the process ended, and it got neither an answer nor a refusal.
	 */
	it('notify a caller that connects while only a replacement delays their end', async () => {
		expect(await playStopSchedule({
			size: {proxies: 3, maxConnections: 22},
			stops: [{host: 0, atMs: 1000}],
			callers: [{
				host: 0, database: 'sync', requestMs: 900, opensAtMs: 3400, firstRestMs: 1600, steps: [{kind: 'read', restMs: 2000}],
			}],
			slowness: [],
			replaceAtMs: 500,
			promoteMs: 4000,
			lastLinesMs: 0,
		})).to.deep.equal([]);
	});
});
