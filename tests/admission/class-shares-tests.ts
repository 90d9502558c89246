import {expect} from 'chai';
import fc from 'fast-check';
import {WORK_CLASSES} from '../../src/admission/class-queues.js';
import {createClassShares, type Shares} from '../../src/admission/class-shares.js';
import type {WorkClass} from '../../src/groups/group-config.js';

const SHARES: Shares = {deadline: 0.5, interactive: 0.3, background: 0.1};

/** Runs statements one after another and returns each class's fraction of the slot time, and all slot time. */
function divide(shares: Shares, holdMs: Record<WorkClass, number>, waiting: readonly WorkClass[], rounds: number) {
	const division = createClassShares(shares);
	const used: Record<WorkClass, number> = {deadline: 0, interactive: 0, background: 0};
	for (let round = 0; round < rounds; round++) {
		const picked = division.pick(workClass => waiting.includes(workClass))!;
		division.complete(division.reserve(picked, holdMs[picked]), holdMs[picked]);
		used[picked] += holdMs[picked];
	}

	const all = used.deadline + used.interactive + used.background;
	return {parts: WORK_CLASSES.map(workClass => used[workClass] / all), all};
}

describe('class shares', () => {
	const doTest = (title: string, holdMs: [number, number, number], waiting: readonly WorkClass[], expected: string, shares = SHARES) => {
		it(`${title}: ${expected}`, () => {
			const [deadline, interactive, background] = holdMs;
			const {parts} = divide(shares, {deadline, interactive, background}, waiting, 20_000);
			expect(parts.map(part => part.toFixed(2)).join(' ')).to.equal(expected);
		});
	};

	doTest('gives what is left over to the most urgent class when all have work', [10, 10, 10], WORK_CLASSES, '0.60 0.30 0.10');
	doTest('gives a class with long statements no more time', [10, 10, 100], WORK_CLASSES, '0.60 0.30 0.10');
	doTest('divides the time of a class without work', [10, 10, 30], ['interactive', 'background'], '0.00 0.90 0.10');
	doTest('gives a single class all of the time', [10, 10, 30], ['background'], '0.00 0.00 1.00');
	doTest('scales shares that add up to more than 1', [10, 10, 10], WORK_CLASSES, '0.50 0.25 0.25', {deadline: 1, interactive: 0.5, background: 0.5});

	// Guards against starvation: without a share, interactive requests would wait for as long as urgent ones keep arriving.
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

	// A burst of urgent requests arrives while others wait for their share. Within their own share the urgent ones run first.
	it('runs a class that was idle before others for a while', () => {
		const division = createClassShares(SHARES);
		const run = (workClass: WorkClass) => {
			division.complete(division.reserve(workClass, 10), 10);
		};

		for (let round = 0; round < 1000; round++) {
			run('interactive');
		}

		let burst = 0;
		while (burst < 100 && division.pick(() => true) === 'deadline') {
			run('deadline');
			burst++;
		}

		expect(burst).to.equal(32);
		expect(division.pick(() => true)).to.equal('interactive');
	});
});
