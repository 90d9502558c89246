import {expect} from 'chai';
import {rankSuccessors} from '../../src/leadership/choose-successor.js';

describe('choosing a successor', () => {
	function make(endpointId: string, role: 'primary' | 'replica', term: number, position: number, leaving = false) {
		return {
			endpointId, leaving, status: {
				role, term, received: {term, position}, fencedTerm: 0, lagMs: 0, busy: 0, connections: 0,
			},
		};
	}

	function doTest(name: string, candidates: ReadonlyArray<ReturnType<typeof make>>, expected: readonly string[]) {
		it(name, () => {
			expect(rankSuccessors(candidates).map(({endpointId}) => endpointId)).to.deep.equal(expected);
		});
	}

	doTest('the furthest log first', [make('a', 'replica', 1, 5), make('b', 'replica', 1, 9)], ['b', 'a']);
	doTest('a later term before a longer log', [make('a', 'replica', 1, 9), make('b', 'replica', 2, 5)], ['b', 'a']);
	doTest('one that leads its term before a replica of it', [make('a', 'replica', 2, 9), make('b', 'primary', 2, 9)], ['b', 'a']);
	doTest('a superseded primary behind a replica of the later term', [make('old', 'primary', 1, 20), make('b', 'replica', 2, 9)], ['b', 'old']);
	doTest('one that leaves last', [make('a', 'replica', 1, 9, true), make('b', 'replica', 1, 5)], ['b', 'a']);
});
