import {expect} from 'chai';
import {playKeepers} from '../../src/bench/workspace-links/play-keepers.js';

/** Aim of the callers, and their patience, in milliseconds. */
const AIM_MS = 251;
const TIMEOUT_MS = 800;

/** More workspaces than connections before one endpoint: its slots go to statements and to openings alike. */
describe('callers of many workspaces before one endpoint', () => {
	function doTest(statementsPerSecond: number, failedAtMost: number, p99AtMost: number) {
		it(`are served at ${statementsPerSecond} statements a second`, async () => {
			const {failed, p50Ms, p99Ms} = await playKeepers({
				keepersPerZone: 2, zones: 4, byWorkspace: true, workspaces: 83, skew: 1, statementsPerSecond, seed: 1,
			});
			expect(failed).to.be.at.most(failedAtMost);
			expect(p50Ms).to.be.at.most(AIM_MS);
			expect(p99Ms).to.be.at.most(p99AtMost);
		});
	}

	doTest(40, 0.005, AIM_MS);
	doTest(120, 0.01, TIMEOUT_MS);
});
