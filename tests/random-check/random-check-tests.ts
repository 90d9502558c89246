import {expect} from 'chai';
import {checkSchedules} from './check-schedules.js';
import {getGuardBreakOrThrow} from './guard-breaks.js';

/** Timeout of each test, in milliseconds. On an idle core the slowest takes 4 s. */
const TIMEOUT_MS = 120_000;

describe('random check of writes, fencing, resolving and barriers', function () {
	this.timeout(TIMEOUT_MS);

	// Three proxies receive requests, any of them promotes primaries, and servers, links and proxies fail in any order. The
	// answers to callers must agree with the logs: no acknowledged write is lost, none runs twice, no "not run" is
	// contradicted, and every read contains the acknowledged writes of its session.
	it('finds no violation in 200 schedules', async () => {
		const {counterexample, schedules, figures} = await checkSchedules({runs: 200, seed: 20_260_105});
		expect(counterexample).to.equal(undefined);
		expect(schedules).to.equal(200);
		expect(figures.acknowledged).to.be.above(200);
		expect(figures.promotions).to.be.above(200);
	});

	// Tests the check itself: without a guard, it must find the violation that the guard prevents.
	const doTest = (guard: string, violation: RegExp) => {
		it(`detects that ${guard} is missing`, async () => {
			const {counterexample} = await checkSchedules({runs: 150, seed: 1, guardBreak: getGuardBreakOrThrow(guard)});
			expect(counterexample?.violations.join('\n')).to.match(violation);
		});
	};

	doTest('confirm-one', /acknowledged write lost/v);
	doTest('no-tombstone', /not-run contradicted/v);
	doTest('token-as-new', /stale read/v);
});
