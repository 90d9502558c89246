import {expect} from 'chai';
import {createQueuePatience} from '../../src/gateway/queue-patience.js';
import {ROUTES} from '../proxy/proxy-bench.js';

describe('how long a statement queues', () => {
	function doTest(targetLatencyMs: number, statementTimeoutMs: number, expectedMs: number) {
		it(`is ${expectedMs} ms where its route wants ${targetLatencyMs} ms and gives it ${statementTimeoutMs} ms`, () => {
			const patience = createQueuePatience({...ROUTES[0]!, targetLatencyMs, statementTimeoutMs});
			expect(patience.isOver(10_000)).to.equal(false);
			expect(patience.start(1000)).to.equal(1000 + expectedMs);
			expect(patience.start(1200)).to.equal(1000 + expectedMs);
			expect([patience.isOver(999 + expectedMs), patience.isOver(1000 + expectedMs)]).to.deep.equal([false, true]);
		});
	}

	doTest(151, 800, 302);
	doTest(251, 800, 400);
	doTest(401, 1500, 750);
	doTest(0, 800, 400);
	doTest(10, 800, 100);
	doTest(200, 50, 100);
});
