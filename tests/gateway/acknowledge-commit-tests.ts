import {expect} from 'chai';
import type {GatewayParts} from '../../src/gateway/gateway-parts.js';
import {mayAcknowledge} from '../../src/gateway/acknowledge-commit.js';
import type {PrimaryLease} from '../../src/leadership/primary-leases.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const LEASE: PrimaryLease = {
	group: 'g', primaryId: 'p', term: 1, epoch: 1, start: {term: 1, position: 0},
};

const COMMIT = {position: {term: 1, position: 5}, before: {term: 1, position: 3}};

/**
 * A primary that was replaced goes on committing until it is notified. Its answer to a commit may reach a proxy that was
 * suspended, or cut off from the store, after it sent the commit. If the proxy acknowledged that commit, every later read
 * would miss it; so the lease is checked again when the answer arrives.
 */
describe('acknowledging a commit that was answered', () => {
	type Times = {
		/** When the lease expires, and from when it is held again, in milliseconds from now. */
		readonly holdsUntil: number;
		readonly holdsFrom?: number;
		/** From when a later epoch is known, in milliseconds from now. */
		readonly supersededFrom?: number;
	};

	function doTest(name: string, times: Times, expected: boolean, tookMs: number) {
		it(name, async () => {
			const clock = createVirtualClock();
			const startedAt = clock.now();
			const elapsed = () => clock.now() - startedAt;
			const rechecks: string[] = [];
			const noted: unknown[] = [];
			const parts = {
				clock,
				elapsedClock: {elapsed},
				log: createSilentLog(),
				mirror: {confirmSoon() {}, partsConfirmedAt: 0}, // eslint-disable-line @typescript-eslint/no-empty-function
				metrics: {
					countCommitRecheck(outcome: string) {
						rechecks.push(outcome);
					},
				},
				acknowledgedCommits: {
					note(group: string, commit: unknown) {
						noted.push([group, commit]);
					},
				},
				primaryLeases: {
					holds: (_lease: PrimaryLease, now: number) => now < times.holdsUntil || now >= (times.holdsFrom ?? Number.POSITIVE_INFINITY),
					isSuperseded: () => elapsed() >= (times.supersededFrom ?? Number.POSITIVE_INFINITY),
					changed: async (signal: AbortSignal) => clock.sleep(50, signal),
				},
			} as unknown as GatewayParts;
			expect(await clock.runUntil(mayAcknowledge(parts, LEASE, 'c1', COMMIT))).to.equal(expected);
			expect(elapsed()).to.equal(tookMs);
			expect(noted, 'what a successor has to hold').to.deep.equal(expected ? [[LEASE.group, COMMIT]] : []);
			expect(rechecks).to.deep.equal(times.holdsUntil > 0 ? [] : [expected ? 'kept' : 'unknown']);
		});
	}

	doTest('a lease that is held acknowledges at once', {holdsUntil: 1}, true, 0);
	doTest('a lease that is renewed during the wait acknowledges then', {holdsUntil: 0, holdsFrom: 200}, true, 200);
	doTest('a later epoch makes the outcome unknown at once', {holdsUntil: 0, supersededFrom: 0}, false, 0);
	doTest('a later epoch that appears during the wait makes the outcome unknown then', {holdsUntil: 0, supersededFrom: 300}, false, 300);
	doTest('no renewed lease in time makes the outcome unknown', {holdsUntil: 0}, false, 1500);
});
