import {expect} from 'chai';
import fc from 'fast-check';
import {playStopSchedule} from './play-stop-schedule.js';
import {stopSchedules, type StopTally} from './stop-schedule.js';

/** Schedules that are played; raised by hand for longer hunts. */
const SCHEDULES = 70;

const SEED = 23;

/** What the schedules have to reach at the moment of an order, and callers have to be told. */
const REACHED = [
	'told while opening',
	'told while idle',
	'told while busy',
	'told while resting',
	'told while requests wait for a connection',
	'told while it lends',
	'told while it borrows',
	'told while it replaces a primary',
	'answer done',
	'answer overloaded',
	'answer aborted',
	'answer outcome-unknown',
];

/**
 * Hosts are told to stop while callers open sessions, read, write and rest in transactions, with requests on their way; connections are few, and some are lent
 * by hosts that stop themselves. A host that has left is gone: whatever it took needs its answer or refusal by then, and each promise has to be true.
 */
describe('hosts that are told to stop at any moment', () => {
	it('leave nothing that they took without an outcome, and say nothing of it that is not true', async () => {
		const tally: StopTally = {};
		await fc.assert(fc.asyncProperty(stopSchedules, async schedule => {
			expect(await playStopSchedule(schedule, tally)).to.deep.equal([]);
		}), {seed: SEED, numRuns: SCHEDULES});
		expect(REACHED.filter(what => !tally[what])).to.deep.equal([]);
	});

	/**
	 * A host without callers is told to stop while it replaces a primary, and has to go on until that is done. Callers still come, since most hosts are
	 * stopping. One that comes then is greeted and told nothing more: all had been told, and final answers given, before it came.
	 * Its request is on its way when the process ends, and it gets neither an answer nor a refusal.
	 */
	it('tell also a caller that comes while only a replacement holds up their end', async () => {
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
