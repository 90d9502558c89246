import {expect} from 'chai';
import {
	getResponseMs, getInTimePart, getRecoveryMs, getUsefulWork,
} from '../../src/bench/overload/figures.js';
import {runOneGroup, SLOTS} from '../../src/bench/overload/part.js';
import {WORK_CLASSES} from '../../src/admission/class-queues.js';

const LENGTH_MS = 12_000;
const WINDOW = {from: 2000, to: LENGTH_MS};

describe('overload', () => {
	const run = async (load: number) => {
		const {outcomes} = await runOneGroup(1, {groups: [{getLoad: () => load, faults: []}], lengthMs: LENGTH_MS});
		return outcomes;
	};

	it('yields the same outcomes for the same seed', async () => {
		expect(await run(1)).to.deep.equal(await run(1));
	});

	it('keeps the useful work and the deadline class\'s latency at twice the capacity, and answers at least a tenth of every class in time', async () => {
		const [quiet, full, twice] = [await run(0.5), await run(1), await run(2)];
		expect(getUsefulWork(twice, WINDOW, SLOTS)).to.be.at.least(0.95 * getUsefulWork(full, WINDOW, SLOTS));
		expect(getResponseMs(twice, WINDOW, 'deadline', 0.99)).to.be.at.most(2 * getResponseMs(quiet, WINDOW, 'deadline', 0.99));
		expect(getInTimePart(twice, WINDOW, 'deadline')).to.equal(1);
		for (const workClass of WORK_CLASSES) {
			expect(getInTimePart(twice, WINDOW, workClass)).to.be.at.least(0.1);
		}
	});

	// A server is down for a second while all its callers retry. Without admission the queue is longer than any deadline when the
	// server is back, and no request is ever again answered in time.
	it('answers requests as before the outage within a second after it', async () => {
		const {outcomes} = await runOneGroup(1, {
			callers: 'impatient',
			lengthMs: LENGTH_MS,
			groups: [{
				getLoad: () => 0.8,
				faults: [
					{
						at: 5000,
						apply(server) {
							server.setRefusing(true);
							server.crash();
						},
					},
					{
						at: 6000,
						apply(server) {
							server.setRefusing(false);
						},
					},
				],
			}],
		});
		expect(getRecoveryMs(outcomes, {from: 1000, to: 5000}, 6000, LENGTH_MS)).to.be.at.most(1000);
	});
});
