import {expect} from 'chai';
import {predictCatchUp} from '../../src/placement/catch-up.js';
import {createPositionSamples} from '../../src/placement/position-samples.js';

describe('predicting when a replica holds a floor', () => {
	/** The primary wrote one commit every 100 ms: position 10 at 1,000, 20 at 2,000. */
	function makeSamples() {
		const samples = createPositionSamples();
		for (let at = 1000; at <= 3000; at += 100) {
			samples.note(at, {term: 1, position: at / 100});
		}

		return samples;
	}

	function doTest(name: string, held: number | undefined, heldAt: number, floor: number, expected: number) {
		it(name, () => {
			const position = held === undefined ? undefined : {term: 1, position: held};
			expect(predictCatchUp(makeSamples(), {held: position, heldAt}, {term: 1, position: floor}, 3000)).to.equal(expected);
		});
	}

	doTest('one that was never seen is asked', undefined, 0, 20, 0);
	doTest('one that was seen to hold it is asked', 20, 2500, 20, 0);
	doTest('one that lagged by little has caught up by now', 19, 2700, 20, 0);
	doTest('one that lags by 900 ms held it 100 ms ago', 18, 2700, 20, 0);
	doTest('one that was seen too long ago is asked', 15, 2599, 20, 0);
	doTest('one that lags by 1,500 ms holds it in 500', 15, 3000, 20, 500);
	doTest('one that lags by more than is known is not waited for', 5, 3000, 20, Number.POSITIVE_INFINITY);
});
