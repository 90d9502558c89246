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

	doTest('knows nothing at first', [], [1, 5], undefined);
	doTest('tells when a position was seen', [[100, 1, 5], [200, 1, 6]], [1, 6], 200);
	doTest('takes positions between two sights as evenly written', [[100, 1, 10], [200, 1, 20]], [1, 15], 150);
	doTest('counts from the last sight of a quiet primary', [[100, 1, 5], [900, 1, 5], [1000, 1, 7]], [1, 6], 950);
	doTest('knows nothing of what came before the first sight', [[100, 1, 5], [200, 1, 6]], [1, 4], undefined);
	doTest('knows nothing of what was not yet seen', [[100, 1, 5], [200, 1, 6]], [1, 7], undefined);
	doTest('begins anew with a higher term', [[100, 1, 5], [200, 1, 6], [300, 2, 8], [400, 2, 9]], [1, 6], undefined);
	doTest('passes over an answer of a lower term', [[100, 2, 5], [200, 1, 9], [300, 2, 6]], [2, 6], 300);
	doTest('passes over an answer that was overtaken', [[100, 1, 5], [200, 1, 9], [210, 1, 7]], [1, 9], 200);
});
