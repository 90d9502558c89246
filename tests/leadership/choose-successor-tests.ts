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

	doTest('the furthest log first', [make('a', 'replica', 1, 5), make('b', 'replica', 1, 9)], ['b', 'a']);
	doTest('a later term before a longer log', [make('a', 'replica', 1, 9), make('b', 'replica', 2, 5)], ['b', 'a']);
	doTest('one that leads its term before a replica of it', [make('a', 'replica', 2, 9), make('b', 'primary', 2, 9)], ['b', 'a']);
	doTest('a superseded primary behind a replica of the later term', [make('old', 'primary', 1, 20), make('b', 'replica', 2, 9)], ['b', 'old']);
	doTest('one that leaves last among equals', [make('a', 'replica', 1, 9, true), make('b', 'replica', 1, 9)], ['b', 'a']);
	// A server cut off for long holds the divergent end of an early term, and rolling back to it would lose far more.
	doTest('one that leaves before one that holds less', [make('a', 'replica', 2, 9, true), make('b', 'primary', 1, 30)], ['a', 'b']);
});

/**
 * The primary of term 3 crashes a second after it was promoted. Its predecessor, cut off from the group, still calls itself
 * primary of term 2. Ordered to lead again it seems to do so at once, and what callers write in the second until the order
 * takes effect is lost, though it was acknowledged.
 */
describe('the term in which a promoted endpoint has to lead', () => {
	const before = {primaryId: 'p', term: 3, phase: 'steady'} as const;

	function doTest(name: string, candidate: ReturnType<typeof make>, expected: number) {
		it(name, () => {
			expect(getMinTerm(candidate, before)).to.equal(expected);
		});
	}

	doTest('a replica leads the next', make('r', 'replica', 3, 9), 4);
	doTest('a replica that knows a later one leads the next after that', make('r', 'replica', 5, 9), 6);
	doTest('the primary itself leads on', make('p', 'primary', 3, 9), 3);
	doTest('a superseded primary leads the next', make('old', 'primary', 2, 9), 4);
	doTest('another that claims the same term leads the next', make('other', 'primary', 3, 9), 4);
	it('the primary of a record that says changing leads the next: an earlier replacement may have promoted another', () => {
		expect(getMinTerm(make('p', 'primary', 3, 9), {...before, phase: 'changing'})).to.equal(4);
		expect(rankSuccessors([make('p', 'primary', 3, 9), make('r', 'replica', 3, 9)], {...before, phase: 'changing'})[0]?.endpointId).to.equal('r');
	});

	it('the primary of a record that says changing was never replaced where its term stays after an order', () => {
		const {status} = make('p', 'primary', 3, 9);
		expect([isNeverReplaced('p', status, before), isNeverReplaced('q', status, before), isNeverReplaced('p', {...status, term: 4}, before)]).to.deep.equal([true, false, false]);
	});

	doTest('one that was promoted already leads on', make('r', 'primary', 4, 9), 4);
});
