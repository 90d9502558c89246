import {expect} from 'chai';
import {createQueueTimeout} from '../../src/gateway/queue-timeout.js';
import {ROUTES} from '../proxy/proxy-bench.js';

describe('the queue timeout of a statement', () => {
	function doTest(targetLatencyMs: number, statementTimeoutMs: number, expectedMs: number) {
		it(`is ${expectedMs} ms for a latency target of ${targetLatencyMs} ms and a statement timeout of ${statementTimeoutMs} ms`, () => {
			const queueTimeout = createQueueTimeout({...ROUTES[0]!, targetLatencyMs, statementTimeoutMs});
			expect(queueTimeout.isOver(10_000)).to.equal(false);
			expect(queueTimeout.start(1000)).to.equal(1000 + expectedMs);
			expect(queueTimeout.start(1200)).to.equal(1000 + expectedMs);
			expect([queueTimeout.isOver(999 + expectedMs), queueTimeout.isOver(1000 + expectedMs)]).to.deep.equal([false, true]);
		});
	}

	doTest(151, 800, 302);
	doTest(251, 800, 400);
	doTest(401, 1500, 750);
	doTest(0, 800, 400);
	doTest(10, 800, 100);
	doTest(200, 50, 100);
});
