import {expect} from 'chai';
import {getMinTerm, isNeverReplaced, rankSuccessors} from '../../src/leadership/choose-successor.js';

function make(endpointId: string, role: 'primary' | 'replica', term: number, position: number, leaving = false) {
	return {
		endpointId, leaving, status: {
			role, term, received: {term, position}, fencedTerm: 0, lagMs: 0, busy: 0, connections: 0,
		},
	};
}

describe('choosing a successor', () => {
	function doTest(name: string, candidates: ReadonlyArray<ReturnType<typeof make>>, expected: readonly string[]) {
		it(name, () => {
			expect(rankSuccessors(candidates, {primaryId: 'p', term: 1, phase: 'steady'}).map(({endpointId}) => endpointId)).to.deep.equal(expected);
		});
	}

	doTest('the furthest log comes first', [make('a', 'replica', 1, 5), make('b', 'replica', 1, 9)], ['b', 'a']);
	doTest('a later term comes before a longer log', [make('a', 'replica', 1, 9), make('b', 'replica', 2, 5)], ['b', 'a']);
	doTest('a primary comes before a replica of the same term', [make('a', 'replica', 2, 9), make('b', 'primary', 2, 9)], ['b', 'a']);
	doTest('a superseded primary comes after a replica of the later term', [make('old', 'primary', 1, 20), make('b', 'replica', 2, 9)], ['b', 'old']);
	doTest('a leaving endpoint comes last among equals', [make('a', 'replica', 1, 9, true), make('b', 'replica', 1, 9)], ['b', 'a']);
	// A server that was cut off for long holds the divergent end of an early term; rolling back to it would lose far more.
	doTest('a leaving endpoint comes before one that holds less', [make('a', 'replica', 2, 9, true), make('b', 'primary', 1, 30)], ['a', 'b']);
});

/**
 * The primary of term 3 crashes a second after its promotion. Its predecessor, cut off from the group, still reports itself as primary of term 2.
 * When it is ordered to be promoted, it seems to be primary at once, and acknowledged writes of the second until the order takes effect are lost.
 */
describe('the lowest term in which a promoted endpoint has to be primary', () => {
	const before = {primaryId: 'p', term: 3, phase: 'steady'} as const;

	function doTest(name: string, candidate: ReturnType<typeof make>, expected: number) {
		it(name, () => {
			expect(getMinTerm(candidate, before)).to.equal(expected);
		});
	}

	doTest('is the next for a replica', make('r', 'replica', 3, 9), 4);
	doTest('is the one after that which the replica knows', make('r', 'replica', 5, 9), 6);
	doTest('is unchanged for the recorded primary', make('p', 'primary', 3, 9), 3);
	doTest('is the next for a superseded primary', make('old', 'primary', 2, 9), 4);
	doTest('is the next for another endpoint that claims the same term', make('other', 'primary', 3, 9), 4);
	it('is the next for the primary of a record in the changing phase: an earlier replacement may have promoted another endpoint', () => {
		expect(getMinTerm(make('p', 'primary', 3, 9), {...before, phase: 'changing'})).to.equal(4);
		expect(rankSuccessors([make('p', 'primary', 3, 9), make('r', 'replica', 3, 9)], {...before, phase: 'changing'})[0]?.endpointId).to.equal('r');
	});

	it('stays for the primary of a record in the changing phase if an order did not change it, since the primary was never replaced', () => {
		const {status} = make('p', 'primary', 3, 9);
		expect([isNeverReplaced('p', status, before), isNeverReplaced('q', status, before), isNeverReplaced('p', {...status, term: 4}, before)]).to.deep.equal([true, false, false]);
	});

	doTest('is unchanged for an endpoint that was promoted already', make('r', 'primary', 4, 9), 4);
});
