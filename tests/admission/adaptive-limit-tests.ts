import {expect} from 'chai';
import {AdaptiveLimit} from '../../src/admission/adaptive-limit.js';

describe('adaptive limit', () => {
	/** Feeds windows of statements that take `times[i]` ms each, and returns the limit after each. */
	const feed = (limit: AdaptiveLimit, times: readonly number[]) => times.map(heldMs => {
		for (let i = 0; i < 64; i++) {
			limit.observe({class: 'interactive', heldMs, served: true});
		}

		return limit.limit;
	});

	const doTest = (title: string, slots: number, owners: number, times: readonly number[], expected: string) => {
		it(`${title}: ${expected}`, () => {
			const limits = feed(new AdaptiveLimit(slots, owners), times);
			expect([...new Set(limits)].join(' ')).to.equal(expected);
		});
	};

	const repeat = (heldMs: number, count: number) => Array.from({length: count}, () => heldMs);

	doTest('grows to all slots while nothing queues at the server', 8, 2, repeat(10, 45), '5 6 7 8 9 10');
	doTest('gives a single owner all slots', 3, 1, repeat(10, 3), '4');
	doTest('leaves a single owner all slots when the server is slow', 3, 1, [10, 50, 50, 50, 50], '4');

	it('falls to the owner\'s share when statements queue at the server, and grows again when they do not', () => {
		const limit = new AdaptiveLimit(8, 2);
		feed(limit, repeat(10, 60));
		const overloaded = feed(limit, repeat(20, 8)).join(' ');
		const recovered = feed(limit, repeat(10, 24)).at(-1);
		expect(overloaded).to.equal('9 8 7 7 6 5 5 5');
		expect(recovered).to.equal(8);
	});

	// Guards against unused slots on a server that has become slow for good, say after a lost disk: its owners would keep their
	// limits at the minimum if the baseline stayed at the old times.
	it('adapts the baseline to a server that stays slow', () => {
		const limit = new AdaptiveLimit(8, 2);
		feed(limit, repeat(10, 60));
		feed(limit, repeat(50, 12));
		expect(limit.limit).to.equal(5);
		feed(limit, repeat(50, 80));
		expect(limit.limit).to.equal(10);
	});
});
