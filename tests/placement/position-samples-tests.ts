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
		samples.noteStart({term: 2, start: {term: 2, position: 100}});
		expect(samples.getFloor(1000)).to.deep.equal({term: 1, position: 90});
		expect(samples.getFloor(1500)).to.deep.equal({term: 2, position: 100});
	});

	/**
	 * A primary is promoted and has written nothing: its log ends with an entry of the term before. Hosts that saw the lost primary go further in that term turned the
	 * new one away as one that had lost its log, each by itself, and the group had no primary any more.
	 */
	it('brings a floor of the term before down to the end of a log that the new primary has not added to', () => {
		expect(limitToStart({term: 4, position: 127}, {term: 5, start: {term: 4, position: 126}})).to.deep.equal({term: 4, position: 126});
	});

	it('brings a floor of a term between, of which the new primary has nothing, down to the end of its log', () => {
		expect(limitToStart({term: 3, position: 35}, {term: 5, start: {term: 2, position: 39}})).to.deep.equal({term: 2, position: 39});
	});

	it('leaves floors of the later term alone', () => {
		expect(limitToStart({term: 2, position: 130}, {term: 2, start: {term: 1, position: 100}})).to.deep.equal({term: 2, position: 130});
	});

	it('takes the higher of two floors', () => {
		expect(getHigherFloor({term: 1, position: 3}, {term: 1, position: 4})).to.deep.equal({term: 1, position: 4});
		expect(getHigherFloor(undefined, {term: 1, position: 4})).to.deep.equal({term: 1, position: 4});
		expect(getHigherFloor(undefined, undefined)).to.equal(undefined);
	});
});
