import {expect} from 'chai';
import {getVisibleEnd, type HeldCommit} from '../../../src/stand-ins/plain-group/plain-log.js';
import {holdsLogPosition} from '../../../src/terms/log-position.js';

/**
 * A replica is seconds behind when its primary is replaced, and has applied nothing yet. A coach's read that has to see the nights of the
 * term before must be refused there.
 */
describe('the end of a log that a read sees', () => {
	function doTest(name: string, log: readonly HeldCommit[], expected: {readonly term: number; readonly position: number}) {
		it(name, () => {
			expect(getVisibleEnd(log, 1000)).to.deep.equal(expected);
		});
	}

	const held: HeldCommit = {commit: {term: 1, position: 1, writes: []}, visibleAt: 1000};
	doTest('is that of the last commit that is applied', [held, {commit: {term: 1, position: 2, writes: []}, visibleAt: 1001}], {term: 1, position: 1});
	doTest('is before every term where nothing is applied', [{...held, visibleAt: 1001}], {term: 0, position: 0});

	it('holds no position of an earlier term where nothing is applied', () => {
		expect(holdsLogPosition(getVisibleEnd([{...held, visibleAt: 1001}], 1000), {term: 1, position: 1})).to.equal(false);
	});
});
