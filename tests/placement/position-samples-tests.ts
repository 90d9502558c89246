import {expect} from 'chai';
import {createPositionSamples, getHigherFloor, limitToStart} from '../../src/placement/position-samples.js';

describe('position samples', () => {
	it('gives the oldest sample that is young enough', () => {
		const samples = createPositionSamples();
		samples.note(1000, {term: 1, position: 5});
		samples.note(1500, {term: 1, position: 9});
		samples.note(2000, {term: 1, position: 12});
		expect(samples.getFloor(1200)).to.deep.equal({term: 1, position: 9});
		expect(samples.getFloor(2000)).to.deep.equal({term: 1, position: 12});
		expect(samples.getFloor(2001)).to.equal(undefined);
	});

	it('passes over an answer to a question asked before the last sample', () => {
		const samples = createPositionSamples();
		samples.note(1000, {term: 1, position: 5});
		samples.note(900, {term: 1, position: 7});
		expect(samples.getFloor(950)).to.deep.equal({term: 1, position: 5});
	});

	/**
	 * A session wrote at a primary that was lost before its last commits reached a replica. The successor never gets
	 * them, so a floor beyond its start would be lacked by every endpoint for ever and the session could read nothing.
	 */
	it('brings floors of a superseded term down to where the later term began', () => {
		const samples = createPositionSamples();
		samples.note(1000, {term: 1, position: 90});
		samples.note(2000, {term: 1, position: 110});
		samples.noteStart({term: 2, position: 100});
		expect(samples.getFloor(1000)).to.deep.equal({term: 1, position: 90});
		expect(samples.getFloor(1500)).to.deep.equal({term: 2, position: 100});
	});

	it('leaves floors of the later term alone', () => {
		expect(limitToStart({term: 2, position: 130}, {term: 2, position: 100})).to.deep.equal({term: 2, position: 130});
	});

	it('takes the higher of two floors', () => {
		expect(getHigherFloor({term: 1, position: 3}, {term: 1, position: 4})).to.deep.equal({term: 1, position: 4});
		expect(getHigherFloor(undefined, {term: 1, position: 4})).to.deep.equal({term: 1, position: 4});
		expect(getHigherFloor(undefined, undefined)).to.equal(undefined);
	});
});
