import {expect} from 'chai';
import {
	closeAdmissionAt, createStopPlan, isPastAdmission, mayBegin, mayAccept, type StopPlan,
} from '../../src/gateway/stop-plan.js';
import {ReadPolicy, type Route} from '../../src/routes/routing.js';
import {Access} from '../../src/statements/statement.js';

/** When the host is ordered to stop, a steady time in milliseconds. */
const ORDERED_AT = 70_000;

const createRoute = (targetLatencyMs: number, statementTimeoutMs: number): Route => ({
	name: 'sync', database: 'sync', group: 'nights', policy: ReadPolicy.Primary, maxReadAgeMs: 0, priority: 1, targetLatencyMs, statementTimeoutMs,
});

/** A route whose statements can complete between the end of admission and the last answer. */
const QUICK = createRoute(200, 1000);

/** A route whose writes may take longer than that. */
const SLOW_WRITES = createRoute(200, 1500);

/** A route whose latency target for reads is longer than that, too. */
const SLOW_READS = createRoute(1200, 4000);

const mayRead = (route: Route) => (plan: StopPlan | undefined, now: number) => mayAccept(plan, route, Access.Read, now);
const mayWrite = (route: Route) => (plan: StopPlan | undefined, now: number) => mayAccept(plan, route, Access.Write, now);
const mayOpen = (plan: StopPlan | undefined, now: number) => !isPastAdmission(plan, now);
const mayBeginOn = (route: Route) => (plan: StopPlan | undefined, now: number) => mayBegin(plan, route, now);

/** Applies a rule to a plan whose admission was closed `ms` milliseconds after the order to stop. */
const closedAt = (ms: number, rule: (plan: StopPlan | undefined, now: number) => boolean) => (plan: StopPlan | undefined, now: number) =>
	rule(plan && closeAdmissionAt(plan, ORDERED_AT + ms), now);

/** Plans for grace periods from one that hardly leaves time for one answer to one that leaves plenty. */
describe('the plan of a stop', () => {
	type Expectation = {
		/** The moments in their order, in milliseconds from the order to stop. */
		readonly moments: readonly [rotatedOutAt: number, admitUntil: number, answerBy: number, endBy: number];
		/** The last whole millisecond from the order to stop at which each is still accepted. */
		readonly last: ReadonlyArray<readonly [what: string, rule: (plan: StopPlan | undefined, now: number) => boolean, lastMs: number]>;
	};

	function doTest(graceMs: number, {moments, last}: Expectation) {
		it(`has its moments in order with ${graceMs} ms of grace, and accepts only what has its answer in time`, () => {
			const plan = createStopPlan(ORDERED_AT, graceMs);
			const made = [plan.rotatedOutAt, plan.admitUntil, plan.answerBy, plan.endBy].map(moment => moment - ORDERED_AT);
			expect(made.map(moment => Math.round(moment))).to.deep.equal(moments);
			const inOrder = [0, ...made, graceMs];
			expect(inOrder).to.deep.equal(inOrder.toSorted((left, right) => left - right));
			for (const [what, rule, lastMs] of last) {
				const taken = [0, lastMs, lastMs + 1, graceMs].map(ms => rule(plan, ORDERED_AT + ms));
				expect([what, ...taken]).to.deep.equal([what, true, true, false, false]);
				// Without an order to stop, everything is accepted at any time.
				expect([what, rule(undefined, ORDERED_AT + graceMs)]).to.deep.equal([what, true]);
			}
		});
	}

	doTest(1000, {
		moments: [500, 500, 833, 833],
		last: [
			['sessions', mayOpen, 499],
			['transactions', mayBeginOn(QUICK), 300],
			['reads', mayRead(QUICK), 499],
			['writes', mayWrite(QUICK), 499],
			['slow reads', mayRead(SLOW_READS), 499],
			['slow writes', mayWrite(SLOW_READS), 499],
		],
	});
	doTest(2000, {
		moments: [1000, 1000, 1667, 1667],
		last: [
			['sessions', mayOpen, 999],
			['transactions', mayBeginOn(QUICK), 800],
			['reads', mayRead(QUICK), 999],
			['writes', mayWrite(QUICK), 999],
			['slow writes', mayWrite(SLOW_WRITES), 999],
		],
	});
	doTest(6000, {
		moments: [2300, 4000, 5000, 5400],
		last: [
			['sessions', mayOpen, 3999],
			['transactions', mayBeginOn(QUICK), 3800],
			['slow transactions', mayBeginOn(SLOW_READS), 2800],
			['reads', mayRead(QUICK), 3999],
			['writes', mayWrite(QUICK), 3999],
			['reads with slow writes', mayRead(SLOW_WRITES), 3999],
			['slow writes', mayWrite(SLOW_WRITES), 3500],
			['slow reads', mayRead(SLOW_READS), 3800],
			// New callers arrive until the balancer removes the host, so they are all served until then.
			['slowest writes', mayWrite(SLOW_READS), 2299],
			['sessions closed early', closedAt(3000, mayOpen), 2999],
			['transactions closed early', closedAt(3000, mayBeginOn(QUICK)), 2800],
			['reads closed early', closedAt(3000, mayRead(QUICK)), 2999],
			['slow writes closed early', closedAt(3000, mayWrite(SLOW_WRITES)), 2999],
			['slow writes closed after their last moment', closedAt(3700, mayWrite(SLOW_WRITES)), 3500],
			['sessions closed late', closedAt(4050, mayOpen), 3999],
			['writes closed late', closedAt(4050, mayWrite(QUICK)), 3999],
		],
	});
	doTest(20_000, {
		moments: [2300, 15_667, 16_667, 19_400],
		last: [
			['sessions', mayOpen, 15_666],
			['transactions', mayBeginOn(QUICK), 15_466],
			['reads', mayRead(QUICK), 15_666],
			['writes', mayWrite(QUICK), 15_666],
			['slow writes', mayWrite(SLOW_WRITES), 15_166],
			['slow reads', mayRead(SLOW_READS), 15_466],
			['slowest writes', mayWrite(SLOW_READS), 12_666],
			['reads closed late', closedAt(16_000, mayRead(QUICK)), 15_666],
		],
	});
});
