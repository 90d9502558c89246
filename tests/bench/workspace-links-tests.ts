import {expect} from 'chai';
import {simulatePoolHosts} from '../../src/bench/workspace-links/simulate-pool-hosts.js';

/** Latency target and timeout of the callers, in milliseconds. */
const TARGET_LATENCY_MS = 251;
const TIMEOUT_MS = 800;

/** There are more workspaces than connections to the endpoint, so its slots serve statements and many openings of connections. */
describe('callers of many workspaces at one endpoint', () => {
	function doTest(statementsPerSecond: number, failedAtMost: number, p99AtMost: number) {
		it(`are served at ${statementsPerSecond} statements a second`, async () => {
			const {failed, p50Ms, p99Ms} = await simulatePoolHosts({
				poolHostsPerZone: 2, zones: 4, byWorkspace: true, workspaces: 83, skew: 1, statementsPerSecond, seed: 1,
			});
			expect(failed).to.be.at.most(failedAtMost);
			expect(p50Ms).to.be.at.most(TARGET_LATENCY_MS);
			expect(p99Ms).to.be.at.most(p99AtMost);
		});
	}

	doTest(40, 0.005, TARGET_LATENCY_MS);
	doTest(120, 0.01, TIMEOUT_MS);
});
