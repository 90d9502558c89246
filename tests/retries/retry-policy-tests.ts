import {expect} from 'chai';
import fc from 'fast-check';
import {
	getBackoffMs, getNextTry, type FailedTry, type NextTryOptions,
} from '../../src/retries/retry-policy.js';
import {RefusalCode} from '../../src/refusals/refusal.js';

const NOT_RUN: FailedTry = {
	provedNotRun: true, isRead: false, hasKey: true, otherOwnerLeft: false,
};
const SILENT_READ: FailedTry = {
	provedNotRun: false, isRead: true, hasKey: false, otherOwnerLeft: false,
};

describe('retry policy', () => {
	const doTest = (title: string, options: Partial<NextTryOptions>, expected: string) => {
		it(`${title}: ${expected}`, () => {
			const next = getNextTry({
				failed: NOT_RUN, tries: 1, deadlineAt: 1000, budget: {left: 5, nextAfterMs: 0}, fraction: 0, ...options,
			}, 0);
			const text = next.retry
				? `after ${next.delayMs} ms for ${next.cost}`
				: `${next.reason}${next.retryAfterMs === undefined ? '' : `, retry after ${next.retryAfterMs} ms`}`;
			expect(text).to.equal(expected);
		});
	};

	doTest('a write that is proved not to have run', {}, 'after 10 ms for 0.05');
	doTest('the third failure', {tries: 3}, 'after 40 ms for 0.05');
	doTest('the largest fraction', {fraction: 0.999}, 'after 20 ms for 0.05');
	doTest('a read without an answer', {failed: SILENT_READ}, 'after 10 ms for 1');
	doTest('a keyed write without an answer', {failed: {...SILENT_READ, isRead: false, hasKey: true}}, 'after 10 ms for 1');
	doTest('a write without a key and without an answer', {failed: {...SILENT_READ, isRead: false}}, 'not-safe');
	doTest('an owner that was not reached, with another owner left', {failed: {...NOT_RUN, otherOwnerLeft: true}}, 'after 0 ms for 0');
	doTest('the same without budget', {failed: {...NOT_RUN, otherOwnerLeft: true}, budget: {left: 0, nextAfterMs: 70}}, 'after 0 ms for 0');
	doTest('a silent owner, with another owner left', {failed: {...SILENT_READ, otherOwnerLeft: true}}, 'after 10 ms for 1');
	doTest('a full queue', {failed: {...NOT_RUN, code: RefusalCode.QueueFull, retryAfterMs: 80}}, 'final, retry after 80 ms');
	doTest('a failed statement', {failed: {...NOT_RUN, code: RefusalCode.StatementFailed}}, 'final');
	doTest('no primary for now', {failed: {...NOT_RUN, code: RefusalCode.NoPrimary, retryAfterMs: 300}}, 'after 300 ms for 0.05');
	doTest('no primary until the deadline', {failed: {...NOT_RUN, code: RefusalCode.NoPrimary, retryAfterMs: 1000}}, 'deadline, retry after 1000 ms');
	doTest('too small a budget after silence', {failed: SILENT_READ, budget: {left: 0.9, nextAfterMs: 70}}, 'budget, retry after 70 ms');
	doTest('the same after a try that did not run', {budget: {left: 0.9, nextAfterMs: 70}}, 'after 10 ms for 0.05');
	doTest('an exhausted budget', {budget: {left: 0.01, nextAfterMs: 70}}, 'budget, retry after 70 ms');

	it('never retries a write without a key or proof that it did not run, and never at the deadline or later', () => {
		const failed = fc.record({
			provedNotRun: fc.boolean(), isRead: fc.boolean(), hasKey: fc.boolean(), otherOwnerLeft: fc.boolean(),
			code: fc.constantFrom(undefined, ...Object.values(RefusalCode)),
			retryAfterMs: fc.option(fc.nat(2000), {nil: undefined}),
		});
		const options = fc.record({
			failed, tries: fc.integer({min: 1, max: 100}), deadlineAt: fc.nat(2000), fraction: fc.double({min: 0, max: 0.999, noNaN: true}),
			budget: fc.record({left: fc.double({min: 0, max: 3, noNaN: true}), nextAfterMs: fc.nat(100)}),
		});
		fc.assert(fc.property(options, input => {
			const next = getNextTry(input, 0);
			if (!next.retry) {
				return;
			}

			expect(input.failed.provedNotRun || input.failed.isRead || input.failed.hasKey).to.equal(true);
			expect(next.delayMs).to.be.lessThan(input.deadlineAt);
			expect(input.budget.left).to.be.at.least(next.cost);
			expect(next.cost).to.be.at.least(input.failed.provedNotRun ? 0 : 1);
		}), {seed: 1, numRuns: 2000});
	});

	it('keeps the delay between half of its maximum and the maximum', () => {
		const bounds = [1, 2, 3, 4, 5, 6, 7, 8, 60].map(tries => `${getBackoffMs(tries, 0)}-${getBackoffMs(tries, 1)}`);
		expect(bounds.join(' ')).to.equal('10-20 20-40 40-80 80-160 160-320 320-640 500-1000 500-1000 500-1000');
	});
});
