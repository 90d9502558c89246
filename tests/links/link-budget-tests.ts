import {expect} from 'chai';
import {createLinkBudget} from '../../src/links/link-budget.js';

describe('the budget of connections to an endpoint', () => {
	function doTest(name: string, open: number, turnedAwayAgoMs: number | undefined, expected: boolean) {
		it(name, () => {
			const budget = createLinkBudget(() => ({maxConnections: 22, hosts: 9, keepsOwn: true}));
			if (turnedAwayAgoMs !== undefined) {
				budget.noteTurnedAway(10_000 - turnedAwayAgoMs);
			}

			expect(budget.share).to.equal(2);
			expect(budget.kept).to.equal(1);
			expect(budget.mayOpen(10_000, open)).to.equal(expected);
		});
	}

	doTest('the first is free', 0, undefined, true);
	doTest('so are those beyond the share while nobody is turned away', 8, undefined, true);
	doTest('but for those that are left to orders', 20, undefined, false);
	doTest('a host that was just turned away waits', 1, 59, false);
	doTest('and tries again soon within its share', 1, 60, true);
	doTest('beyond its share it waits longer', 2, 499, false);
	doTest('until the others\' work may have ended', 2, 500, true);

	it('always leaves one to each host, however many there are', () => {
		expect(createLinkBudget(() => ({maxConnections: 22, hosts: 900, keepsOwn: true})).share).to.equal(1);
	});
});
