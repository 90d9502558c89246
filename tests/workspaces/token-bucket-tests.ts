import {expect} from 'chai';
import fc from 'fast-check';
import {createTokenBucket} from '../../src/workspaces/token-bucket.js';

describe('token bucket', () => {
	function doTest(name: string, [ratePerSecond, burst, level]: readonly [number, number, number], takes: ReadonlyArray<{readonly at: number; readonly wanted: number; readonly taken: number}>) {
		it(name, () => {
			const bucket = createTokenBucket({ratePerSecond, burst}, level, 0);
			expect(takes.map(({at, wanted}) => bucket.take(wanted, at))).to.deep.equal(takes.map(({taken}) => taken));
		});
	}

	doTest('gives the tokens that it holds', [10, 10, 5], [{at: 0, wanted: 3, taken: 3}, {at: 0, wanted: 3, taken: 2}, {at: 0, wanted: 1, taken: 0}]);
	doTest('fills at its rate', [10, 10, 0], [{at: 99, wanted: 1, taken: 0}, {at: 100, wanted: 1, taken: 1}, {at: 300, wanted: 5, taken: 2}]);
	doTest('holds no more than its burst', [10, 10, 10], [{at: 60_000, wanted: 20, taken: 10}]);
	doTest('gives single tokens at a slow rate with a small burst', [0.5, 0.5, 0], [{at: 1000, wanted: 1, taken: 0}, {at: 2000, wanted: 1, taken: 1}]);
	doTest('gives nothing at a rate of zero', [0, 0, 4], [{at: 0, wanted: 1, taken: 0}, {at: 60_000, wanted: 1, taken: 0}]);
	doTest('does not fill while the clock stands still', [10, 10, 0], [{at: 100, wanted: 1, taken: 1}, {at: 100, wanted: 1, taken: 0}]);

	it('leaves the given number of tokens', () => {
		const bucket = createTokenBucket({ratePerSecond: 10, burst: 10}, 10, 0);
		expect(bucket.take(8, 0, 7)).to.equal(3);
	});

	it('applies a lower limit at once', () => {
		const bucket = createTokenBucket({ratePerSecond: 100, burst: 100}, 100, 0);
		bucket.setLimit({ratePerSecond: 10, burst: 5}, 0);
		expect([bucket.take(100, 0), bucket.take(100, 100)]).to.deep.equal([5, 1]);
	});

	it('gives no more than rate times window plus burst in any window', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.nat(400), fc.nat(30)), {maxLength: 60}), steps => {
			const bucket = createTokenBucket({ratePerSecond: 20, burst: 15}, 15, 0);
			const given: Array<readonly [number, number]> = [];
			let now = 0;
			for (const [delayMs, wanted] of steps) {
				now += delayMs;
				given.push([now, bucket.take(wanted, now)]);
			}

			for (const [from] of given) {
				const inWindow = given.filter(([at]) => at >= from && at < from + 1000).reduce((sum, [, count]) => sum + count, 0);
				expect(inWindow).to.be.at.most(20 + 15);
			}
		}));
	});
});
