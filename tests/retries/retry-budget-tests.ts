import {expect} from 'chai';
import fc from 'fast-check';
import {createRetryBudget} from '../../src/retries/retry-budget.js';

describe('retry budget', () => {
	const countTakes = (budget: ReturnType<typeof createRetryBudget>, now: number) => {
		let taken = 0;
		while (budget.take(now)) {
			taken++;
		}

		return taken;
	};

	it('gives a group without fresh requests its minimum rate, and returns the time until the next retry', () => {
		const budget = createRetryBudget({}, 0);
		expect(countTakes(budget, 0)).to.equal(5);
		const {nextAfterMs} = budget.getState(0);
		expect(nextAfterMs).to.equal(2000);
		expect(budget.take(nextAfterMs * 0.8)).to.equal(false);
		expect(budget.take(nextAfterMs * 1.2)).to.equal(true);
	});

	it('gives a tenth of the fresh requests, and lets unused retries expire', () => {
		const budget = createRetryBudget({floorPerSecond: 0}, 0);
		for (let i = 0; i < 1000; i++) {
			budget.noteFresh(i);
		}

		expect(Math.round(budget.getState(1000).left)).to.equal(95);
		expect(Math.round(budget.getState(21_000).left)).to.equal(13);
	});

	// A group's primary is lost, and each of its requests fails and is tried again until its deadline. Without a bound the load
	// of the group is multiplied by the number of tries and overloads its new primary.
	it('never allows more retries than its share, its minimum rate and its initial budget', () => {
		const steps = fc.array(fc.record({afterMs: fc.nat(200), isFresh: fc.boolean()}), {minLength: 50, maxLength: 400});
		fc.assert(fc.property(steps, fc.double({min: 0, max: 0.5, noNaN: true}), (sequence, share) => {
			const budget = createRetryBudget({share}, 0);
			let now = 0;
			let fresh = 0;
			let retries = 0;
			for (const {afterMs, isFresh} of sequence) {
				now += afterMs;
				if (isFresh) {
					fresh++;
					budget.noteFresh(now);
				}

				retries += budget.take(now) ? 1 : 0;
			}

			expect(retries).to.be.at.most(5 + (fresh * share) + (now * 0.0005) + 1e-6);
		}), {seed: 1, numRuns: 300});
	});
});
