import {expect} from 'chai';
import {getVisibleEnd, type LogEntry} from '../../../src/stand-ins/plain-group/plain-log.js';
import {holdsLogPosition} from '../../../src/terms/log-position.js';

/**
 * A replica that is seconds behind when its primary is replaced may have applied nothing yet. It must refuse a read that has to see writes of the previous
 * term.
 */
describe('the visible end of a log', () => {
	function doTest(name: string, log: readonly LogEntry[], expected: {readonly term: number; readonly position: number}) {
		it(name, () => {
			expect(getVisibleEnd(log, 1000)).to.deep.equal(expected);
		});
	}

	const entry: LogEntry = {commit: {term: 1, position: 1, writes: []}, visibleAt: 1000};
	doTest('is the last applied commit', [entry, {commit: {term: 1, position: 2, writes: []}, visibleAt: 1001}], {term: 1, position: 1});
	doTest('is before every term while nothing is applied', [{...entry, visibleAt: 1001}], {term: 0, position: 0});

	it('holds no position of an earlier term while nothing is applied', () => {
		expect(holdsLogPosition(getVisibleEnd([{...entry, visibleAt: 1001}], 1000), {term: 1, position: 1})).to.equal(false);
	});
});
