import {expect} from 'chai';
import {compareLogPositions, holdsLogPosition} from '../../src/terms/log-position.js';

describe('log position', () => {
	const doTest = (held: [number, number], floor: [number, number], holds: boolean) => {
		it(`(${held.join(', ')}) ${holds ? 'holds' : 'does not hold'} (${floor.join(', ')})`, () => {
			const left = {term: held[0], position: held[1]};
			const right = {term: floor[0], position: floor[1]};
			expect(holdsLogPosition(left, right)).to.equal(holds);
			expect(Math.sign(compareLogPositions(left, right))).to.equal(-Math.sign(compareLogPositions(right, left)) + 0);
		});
	};

	doTest([1, 5], [1, 5], true);
	doTest([1, 4], [1, 5], false);
	doTest([2, 3], [1, 5], true);
	// A divergent tail: more entries, but of an older term.
	doTest([1, 900], [2, 3], false);
});
