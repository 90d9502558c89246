import {expect} from 'chai';
import {createLinkBudget} from '../../src/links/link-budget.js';

describe('the budget of connections to an endpoint', () => {
	function doTest(name: string, open: number, rejectedAgoMs: number | undefined, expected: boolean) {
		it(name, () => {
			const budget = createLinkBudget(() => ({maxConnections: 22, hosts: 9, isPoolHost: true}));
			if (rejectedAgoMs !== undefined) {
				budget.noteRejected(10_000 - rejectedAgoMs);
			}

			expect(budget.share).to.equal(2);
			expect(budget.kept).to.equal(1);
			expect(budget.mayOpen(10_000, open)).to.equal(expected);
		});
	}

	doTest('allows the first one', 0, undefined, true);
	doTest('allows one beyond the share while none was rejected', 8, undefined, true);
	doTest('refuses those that are reserved for the commands of a promotion', 20, undefined, false);
	doTest('refuses one within the share just after a rejection', 1, 59, false);
	doTest('allows one within the share 60 ms after a rejection', 1, 60, true);
	doTest('refuses one beyond the share 499 ms after a rejection', 2, 499, false);
	doTest('allows one beyond the share 500 ms after a rejection', 2, 500, true);

	it('allows each host at least one, however many hosts there are', () => {
		expect(createLinkBudget(() => ({maxConnections: 22, hosts: 900, isPoolHost: true})).share).to.equal(1);
	});
});
