import {expect} from 'chai';
import fc from 'fast-check';
import {FixedLimit} from '../../src/admission/concurrency-limit.js';
import {createAdmission} from '../../src/admission/create-admission.js';
import {WORK_CLASSES} from '../../src/admission/class-queues.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const SERVICE_MS = 10;
const LIMIT = 2;
const MAX_QUEUED = 4;

/** The timer rounds up to whole milliseconds and fires after the latest start time, not at it. */
const ROUNDING_MS = 2;

const arrivals = fc.array(fc.record({
	afterMs: fc.nat(8),
	class: fc.constantFrom(...WORK_CLASSES),
	deadlineMs: fc.integer({min: 1, max: 120}),
}), {minLength: 10, maxLength: 40});

describe('admission under random arrivals', () => {
	it('runs no more than its limit, answers each request once, and lets none wait that cannot meet its deadline', async () => {
		await fc.assert(fc.asyncProperty(arrivals, async sequence => {
			const clock = createVirtualClock(0);
			const admission = createAdmission({
				endpoint: 'hall-a-1', slots: LIMIT, owners: 1, limit: new FixedLimit(LIMIT), maxQueued: MAX_QUEUED,
				shares: {deadline: 0.5, interactive: 0.3, background: 0.1}, clock, initialServiceMs: SERVICE_MS,
			});
			const requests: Array<Promise<void>> = [];
			let answers = 0;
			let running = 0;

			const enter = async (workClass: typeof WORK_CLASSES[number], deadlineAt: number) => {
				const enteredAt = clock.now();
				const answer = await admission.acquire({class: workClass, deadlineAt}, enteredAt);
				answers++;
				const waitedMs = clock.now() - enteredAt;
				expect(waitedMs).to.be.at.most(Math.max(0, deadlineAt - SERVICE_MS - enteredAt + ROUNDING_MS));
				if (!answer.admitted) {
					expect(answer.refusal.retryAfterMs).to.be.at.least(0);
					return;
				}

				running++;
				expect(running).to.be.at.most(LIMIT);
				await clock.sleep(SERVICE_MS);
				running--;
				answer.release(clock.now(), true);
			};

			for (const {afterMs, class: workClass, deadlineMs} of sequence) {
				await clock.advance(afterMs);
				requests.push(enter(workClass, clock.now() + deadlineMs));
				const {queued} = admission.getLoad();
				expect(Math.max(...Object.values(queued))).to.be.at.most(MAX_QUEUED);
			}

			await clock.advance(1000);
			await Promise.all(requests);
			expect(answers).to.equal(sequence.length);
			expect(admission.getLoad()).to.deep.include({running: 0, queued: {deadline: 0, interactive: 0, background: 0}});
		}), {seed: 1, numRuns: 80});
	});
});
