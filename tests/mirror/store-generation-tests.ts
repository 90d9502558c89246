import {expect} from 'chai';
import fc from 'fast-check';
import {
	formatQualified, getGeneration, getNextInGeneration, getWithinGeneration, qualifyByGeneration,
} from '../../src/mirror/store-generation.js';

const generations = fc.integer({min: 0, max: 1_000_000});
const numbers = fc.integer({min: 0, max: 2 ** 31});

describe('a number qualified by its generation', () => {
	it('yields the generation and the number', () => {
		fc.assert(fc.property(generations, numbers, (generation, number) => {
			const qualified = qualifyByGeneration(generation, number);
			expect([getGeneration(qualified), getWithinGeneration(qualified)]).to.deep.equal([generation, number]);
		}));
	});

	it('is above all numbers of earlier generations', () => {
		fc.assert(fc.property(generations, numbers, numbers, (generation, number, earlier) => {
			expect(qualifyByGeneration(generation + 1, number)).to.be.greaterThan(qualifyByGeneration(generation, earlier));
		}));
	});

	it('is the store\'s own number before the first store restore', () => {
		expect(qualifyByGeneration(0, 29)).to.equal(29);
	});

	function doNextTest(generation: number, last: number, expected: number) {
		it(`is followed by ${formatQualified(expected)} in generation ${generation} after ${formatQualified(last)}`, () => {
			expect(getNextInGeneration(generation, last)).to.equal(expected);
		});
	}

	doNextTest(0, 7, 8);
	doNextTest(2, 7, qualifyByGeneration(2, 1));
	doNextTest(2, qualifyByGeneration(1, 7), qualifyByGeneration(2, 1));
	doNextTest(2, qualifyByGeneration(2, 7), qualifyByGeneration(2, 8));
	// The last number comes from a later generation than the one given.
	doNextTest(1, qualifyByGeneration(2, 7), qualifyByGeneration(2, 8));
});
