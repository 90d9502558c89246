import {expect} from 'chai';
import fc from 'fast-check';
import {WORK_CLASSES} from '../../src/admission/class-queues.js';
import {createClassShares, type Shares} from '../../src/admission/class-shares.js';
import type {WorkClass} from '../../src/groups/group-config.js';

const SHARES: Shares = {deadline: 0.5, interactive: 0.3, background: 0.1};

/** Runs statements one after another and returns the slot time of each class, as parts of all. */
function divide(shares: Shares, holdMs: Record<WorkClass, number>, waiting: readonly WorkClass[], rounds: number) {
	const division = createClassShares(shares);
	const used: Record<WorkClass, number> = {deadline: 0, interactive: 0, background: 0};
	for (let round = 0; round < rounds; round++) {
		const picked = division.pick(workClass => waiting.includes(workClass))!;
		division.settle(division.claim(picked, holdMs[picked]), holdMs[picked]);
		used[picked] += holdMs[picked];
	}

	const all = used.deadline + used.interactive + used.background;
	return {parts: WORK_CLASSES.map(workClass => used[workClass] / all), all};
}

describe('class shares', () => {
	const doTest = (story: string, holdMs: [number, number, number], waiting: readonly WorkClass[], expected: string, shares = SHARES) => {
		it(`${story}: ${expected}`, () => {
			const [deadline, interactive, background] = holdMs;
			const {parts} = divide(shares, {deadline, interactive, background}, waiting, 20_000);
			expect(parts.map(part => part.toFixed(2)).join(' ')).to.equal(expected);
		});
	};

	doTest('all have work, what is left over goes to the most urgent', [10, 10, 10], WORK_CLASSES, '0.60 0.30 0.10');
	doTest('long statements do not bring a class more time', [10, 10, 100], WORK_CLASSES, '0.60 0.30 0.10');
	doTest('no filings', [10, 10, 30], ['interactive', 'background'], '0.00 0.90 0.10');
	doTest('one class alone', [10, 10, 30], ['background'], '0.00 0.00 1.00');
	doTest('shares that add up to more than 1', [10, 10, 10], WORK_CLASSES, '0.50 0.25 0.25', {deadline: 1, interactive: 0.5, background: 0.5});

	// Story: filings pour in all day. Without a share the paralegals' dockets wait until the evening, and a renewal is missed.
	it('never leaves a class with work below its share, but for a bounded burst', () => {
		const share = fc.double({min: 0, max: 1, noNaN: true});
		const hold = fc.integer({min: 1, max: 100});
		fc.assert(fc.property(
			fc.record({deadline: share, interactive: share, background: share}),
			fc.record({deadline: hold, interactive: hold, background: hold}),
			fc.subarray([...WORK_CLASSES], {minLength: 1}),
			(shares, holdMs, waiting) => {
				const {parts, all} = divide(shares, holdMs, waiting, 3000);
				const sum = Math.max(1, shares.deadline + shares.interactive + shares.background);
				const burst = 40 * Math.max(...Object.values(holdMs));
				for (const workClass of waiting) {
					const part = parts[WORK_CLASSES.indexOf(workClass)]!;
					expect(part * all).to.be.at.least((shares[workClass] / sum * all) - burst);
				}
			},
		), {seed: 1, numRuns: 200});
	});

	// Story: a burst of filings comes while lookups wait for their share. Within their own share filings go first.
	it('lets a class that was idle go before others for a while', () => {
		const division = createClassShares(SHARES);
		const settle = (workClass: WorkClass) => {
			division.settle(division.claim(workClass, 10), 10);
		};

		for (let round = 0; round < 1000; round++) {
			settle('interactive');
		}

		let burst = 0;
		while (burst < 100 && division.pick(() => true) === 'deadline') {
			settle('deadline');
			burst++;
		}

		expect(burst).to.equal(32);
		expect(division.pick(() => true)).to.equal('interactive');
	});
});
