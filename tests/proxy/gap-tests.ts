import {expect} from 'chai';
import {PRIMARY_LOSS_SCENARIOS} from '../../src/bench/lead-changes/losses.js';
import {getLongestPause, startTestbed} from '../../src/bench/lead-changes/testbed.js';
import {ONE_HOST_READS} from '../../src/bench/lead-changes/lease-strategies.js';

const PROMOTE_MS = 600;

/**
 * Callers write every 10 ms through nine proxies when the primary is lost; each test loses it in another way. Each limit is the sum of the promotion
 * of 600 ms, the time to detect a silent primary where there is no other sign, the duration of a primary lease where a host cannot be reached, and
 * some 100 ms for the rounds between.
 */
describe('the write gap after the loss of a primary', () => {
	function doTest(name: string, limitMs: number) {
		it(`lasts at most ${limitMs} ms: ${name}`, async () => {
			const stage = await startTestbed(3, ONE_HOST_READS, PROMOTE_MS);
			await PRIMARY_LOSS_SCENARIOS.find(loss => loss.name === name)!.begin(stage);
			const lostAt = stage.clock.now();
			await stage.clock.advance(8000);
			expect(getLongestPause(stage.acknowledgedAt, lostAt, stage.clock.now())).to.be.lessThan(limitMs);
			expect(stage.system.orders).to.have.lengthOf(1);
			stage.stop();
		});
	}

	doTest('crashed', 900);
	doTest('leaving', 800);
	doTest('dark', 1600);
	doTest('crashed, with another host killed at that moment', 4100);
	doTest('crashed, with one host cut off from the others and the store', 4200);
});
