import {expect} from 'chai';
import {createPrimaryHistory} from '../../src/groups/primary-history.js';

describe('primary history', () => {
	type Seen = [at: number, term: number, position: number];

	const doTest = (title: string, seen: Seen[], log: [term: number, position: number], reachedAt: number | undefined) => {
		it(title, () => {
			const history = createPrimaryHistory();
			for (const [at, term, position] of seen) {
				history.note({term, position}, at);
			}

			expect(history.getReachedAt({term: log[0], position: log[1]})).to.equal(reachedAt);
		});
	};

	doTest('returns no time at first', [], [1, 5], undefined);
	doTest('returns the time at which a position was observed', [[100, 1, 5], [200, 1, 6]], [1, 6], 200);
	doTest('interpolates between two observations', [[100, 1, 10], [200, 1, 20]], [1, 15], 150);
	doTest('interpolates from the last observation of an idle primary', [[100, 1, 5], [900, 1, 5], [1000, 1, 7]], [1, 6], 950);
	doTest('returns no time for a position before the first observation', [[100, 1, 5], [200, 1, 6]], [1, 4], undefined);
	doTest('returns no time for a position not observed yet', [[100, 1, 5], [200, 1, 6]], [1, 7], undefined);
	doTest('is cleared by a higher term', [[100, 1, 5], [200, 1, 6], [300, 2, 8], [400, 2, 9]], [1, 6], undefined);
	doTest('ignores a response of a lower term', [[100, 2, 5], [200, 1, 9], [300, 2, 6]], [2, 6], 300);
	doTest('ignores an outdated response', [[100, 1, 5], [200, 1, 9], [210, 1, 7]], [1, 9], 200);
});
