import {expect} from 'chai';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import {mayAcknowledge} from '../../src/gateway/judge-commit.js';
import type {LeadEvidence} from '../../src/leadership/lead-evidence.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const EVIDENCE: LeadEvidence = {
	group: 'g', primaryId: 'p', term: 1, epoch: 1, start: {term: 1, position: 0},
};

/**
 * A primary that was replaced goes on committing until it is told. Its answer to a commit comes to a proxy that was
 * suspended, or cut off from the store, since it sent the commit. Acknowledged, the commit would be missed by every later
 * read; so the evidence is judged again when the answer is here.
 */
describe('judging a commit that has its answer', () => {
	type Times = {
		/** Until when the evidence holds, and from when it does again, in milliseconds from now. */
		readonly holdsUntil: number;
		readonly holdsFrom?: number;
		readonly supersededFrom?: number;
	};

	function doTest(name: string, times: Times, expected: boolean, tookMs: number) {
		it(name, async () => {
			const clock = createVirtualClock();
			const startedAt = clock.now();
			const elapsed = () => clock.now() - startedAt;
			const judged: string[] = [];
			const parts = {
				clock,
				elapsedClock: {elapsed},
				log: createSilentLog(),
				mirror: {confirmSoon() {}, confirmedAt: 0}, // eslint-disable-line @typescript-eslint/no-empty-function
				metrics: {
					countSecondJudgement(outcome: string) {
						judged.push(outcome);
					},
				},
				evidences: {
					holds: (_evidence: LeadEvidence, now: number) => now < times.holdsUntil || now >= (times.holdsFrom ?? Number.POSITIVE_INFINITY),
					isSuperseded: () => elapsed() >= (times.supersededFrom ?? Number.POSITIVE_INFINITY),
					changed: async (signal: AbortSignal) => clock.sleep(50, signal),
				},
			} as unknown as GatewayParts;
			expect(await clock.runUntil(mayAcknowledge(parts, EVIDENCE, 'c1'))).to.equal(expected);
			expect(elapsed()).to.equal(tookMs);
			expect(judged).to.deep.equal(times.holdsUntil > 0 ? [] : [expected ? 'kept' : 'unknown']);
		});
	}

	doTest('evidence that holds acknowledges at once', {holdsUntil: 1}, true, 0);
	doTest('evidence that is confirmed anew acknowledges then', {holdsUntil: 0, holdsFrom: 200}, true, 200);
	doTest('a later epoch leaves the outcome open at once', {holdsUntil: 0, supersededFrom: 0}, false, 0);
	doTest('a later epoch that shows meanwhile leaves it open then', {holdsUntil: 0, supersededFrom: 300}, false, 300);
	doTest('no evidence in time leaves it open', {holdsUntil: 0}, false, 1500);
});
