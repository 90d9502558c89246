import {expect} from 'chai';
import {predictCatchUp} from '../../src/placement/catch-up.js';
import {createPositionSamples} from '../../src/placement/position-samples.js';

describe('prediction of the time until a replica holds a floor', () => {
	/** The primary commits every 100 ms: position 10 at 1,000, 20 at 2,000. */
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

	doTest('is 0 for a replica that reported no position', undefined, 0, 20, 0);
	doTest('is 0 for a replica that reported the floor', 20, 2500, 20, 0);
	doTest('is 0 for a replica with a short lag that has caught up by now', 19, 2700, 20, 0);
	doTest('is 0 for a replica with a lag of 900 ms that held the floor 100 ms ago', 18, 2700, 20, 0);
	doTest('is 0 for a replica whose report is too old', 15, 2599, 20, 0);
	doTest('is 500 ms for a replica with a lag of 1,500 ms', 15, 3000, 20, 500);
	doTest('is infinite for a replica that lags by more than the samples cover', 5, 3000, 20, Number.POSITIVE_INFINITY);
});
