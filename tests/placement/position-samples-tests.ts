import {expect} from 'chai';
import {createPositionSamples, getHigherFloor, clampToTermStart} from '../../src/placement/position-samples.js';

describe('position samples', () => {
	it('returns the oldest sample that is recent enough', () => {
		const samples = createPositionSamples();
		samples.note(1000, {term: 1, position: 5});
		samples.note(1500, {term: 1, position: 9});
		samples.note(2000, {term: 1, position: 12});
		expect(samples.getFloor(1200)).to.deep.equal({term: 1, position: 9});
		expect(samples.getFloor(2000)).to.deep.equal({term: 1, position: 12});
		expect(samples.getFloor(2001)).to.equal(undefined);
	});

	it('ignores a position that was requested before the last sample', () => {
		const samples = createPositionSamples();
		samples.note(1000, {term: 1, position: 5});
		samples.note(900, {term: 1, position: 7});
		expect(samples.getFloor(950)).to.deep.equal({term: 1, position: 5});
	});

	// Guards against a session that can never read again: a primary is lost before its last commits reach a replica, and no
	// endpoint will ever hold a floor beyond the start of the next primary's term.
	it('clamps floors of a superseded term to the start of the later term', () => {
		const samples = createPositionSamples();
		samples.note(1000, {term: 1, position: 90});
		samples.note(2000, {term: 1, position: 110});
		samples.applyTermStart({term: 2, start: {term: 2, position: 100}});
		expect(samples.getFloor(1000)).to.deep.equal({term: 1, position: 90});
		expect(samples.getFloor(1500)).to.deep.equal({term: 2, position: 100});
	});

	// Guards against a group without a primary: a promoted primary has written nothing, so its log ends with an entry of the term before. Hosts that saw the lost
	// primary go further in that term would each reject the new one as having lost its log.
	it('clamps a floor of the previous term to the end of a log that the new primary has not extended', () => {
		expect(clampToTermStart({term: 4, position: 127}, {term: 5, start: {term: 4, position: 126}})).to.deep.equal({term: 4, position: 126});
	});

	it('clamps a floor of a term in between, of which the new primary has no entry, to the end of its log', () => {
		expect(clampToTermStart({term: 3, position: 35}, {term: 5, start: {term: 2, position: 39}})).to.deep.equal({term: 2, position: 39});
	});

	it('does not change floors of the later term', () => {
		expect(clampToTermStart({term: 2, position: 130}, {term: 2, start: {term: 1, position: 100}})).to.deep.equal({term: 2, position: 130});
	});

	it('returns the higher of two floors', () => {
		expect(getHigherFloor({term: 1, position: 3}, {term: 1, position: 4})).to.deep.equal({term: 1, position: 4});
		expect(getHigherFloor(undefined, {term: 1, position: 4})).to.deep.equal({term: 1, position: 4});
		expect(getHigherFloor(undefined, undefined)).to.equal(undefined);
	});
});
