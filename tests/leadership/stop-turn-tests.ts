import {expect} from 'chai';
import {createStopTurn, OTHERS_BEGIN_WITHIN_MS, type StopTurnRequest} from '../../src/leadership/stop-turn.js';

const REQUEST: StopTurnRequest = {
	group: 'nights', epoch: 1, isLeaseFree: true, endsAt: 5400,
};

type Ask = readonly [now: number, change?: Partial<StopTurnRequest>];

describe('the turn of a stopping host', () => {
	function doTest(what: string, asks: readonly Ask[], expected: boolean) {
		it(what, () => {
			const turn = createStopTurn();
			const results = asks.map(([now, change]) => turn.isDue({...REQUEST, ...change}, now));
			expect(results.at(-1)).to.equal(expected);
		});
	}

	doTest('has not come when it is asked first', [[0]], false);
	doTest('has not come before the others had their time', [[0], [OTHERS_BEGIN_WITHIN_MS - 1]], false);
	doTest('has come after the others had their time', [[0], [OTHERS_BEGIN_WITHIN_MS]], true);
	doTest('has not come while another host holds the lease', [[0], [OTHERS_BEGIN_WITHIN_MS, {isLeaseFree: false}]], false);
	doTest('counts from when the lease was free', [[0], [1000, {isLeaseFree: false}], [1100], [OTHERS_BEGIN_WITHIN_MS]], false);
	doTest('counts anew for another record', [[0], [1000, {epoch: 2}], [OTHERS_BEGIN_WITHIN_MS, {epoch: 2}]], false);
	doTest('counts each group by itself', [[0], [OTHERS_BEGIN_WITHIN_MS, {group: 'rosters'}]], false);
	doTest('does not come where the replacement would be interrupted by the end', [[0], [4500]], false);
});
