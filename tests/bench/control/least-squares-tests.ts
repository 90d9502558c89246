import {expect} from 'chai';
import {fitSlopes, type Observation} from '../../../src/bench/control/least-squares.js';

describe('least squares', () => {
	type Factor = 'node' | 'group';

	const observe = (node: number, group: number, value: number): Observation<Factor> => ({factors: {node, group}, value});

	const doTest = (title: string, observations: Array<Observation<Factor>>, expected: Record<Factor, number>) => {
		it(title, () => {
			const slopes = fitSlopes<Factor>(['node', 'group'], observations);
			expect(slopes.node).to.be.closeTo(expected.node, 1e-6);
			expect(slopes.group).to.be.closeTo(expected.group, 1e-6);
		});
	};

	doTest('finds exact slopes', [observe(2, 0, 20), observe(2, 8, 60), observe(12, 0, 120)], {node: 10, group: 5});
	doTest('fits the mean of two observations that contradict each other', [observe(1, 0, 9), observe(1, 0, 11), observe(0, 1, 3)], {node: 10, group: 3});
	doTest('finds slopes where the first factor is zero in the first observation', [observe(0, 2, 4), observe(1, 2, 5)], {node: 1, group: 2});

	it('throws for factors that always change together', () => {
		expect(() => fitSlopes<Factor>(['node', 'group'], [observe(1, 2, 1), observe(2, 4, 2)])).to.throw('the factors are linearly dependent in these observations');
	});
});
