import {expect} from 'chai';
import {createLeaseRevocation} from '../../src/leadership/lease-revocation.js';
import type {ReplacePrimaryParts} from '../../src/leadership/replace-parts.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const OWN = 'entry-1:7000';
const ENDS_AT = 3150;

const CHANGING = {
	group: 'nights', primaryId: 'p', term: 1, epoch: 2, phase: 'changing', start: {term: 1, position: 0}, changedBy: 'entry-1', version: 9,
} as const;

type Host = {readonly name: string; readonly gone?: true; readonly answers: boolean};

/** Ends evidence among those hosts; tells how long it took and whether time alone had to end it. */
async function end(hosts: readonly Host[], confirms = true, {mayLackHosts = false, lost = []}: {readonly mayLackHosts?: boolean; readonly lost?: readonly Host[]} = {}) {
	const clock = createVirtualClock(0);
	const revoked: string[] = [];
	const parts = {
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		log: createSilentLog(),
		ownPeerAddress: OWN,
		evidences: {
			pause: () => undefined,
			revoke() {
				revoked.push('entry-1');
			},
		},
		returns: {mayLackHosts: () => mayLackHosts, getLostHosts: () => lost.map(({name}) => ({name, peerAddress: `${name}:7000`}))},
		primaryWork: {drain: async () => undefined},
		mirror: {
			confirm: async () => confirms,
			state: {
				hosts: [{name: 'entry-1', peerAddress: OWN}, ...hosts.map(({name, gone}) => ({name, peerAddress: `${name}:7000`, gone}))],
			},
		},
		peers: {
			async call(address: string, kind: string) {
				await clock.sleep(5);
				const host = [...hosts, ...lost].find(({name}) => address === `${name}:7000`)!;
				if (!host.answers) {
					throwPeerSilent(address, kind);
				}

				revoked.push(host.name);
			},
		},
	} as unknown as ReplacePrimaryParts;
	const evidence = createLeaseRevocation(parts, CHANGING, 0);
	await clock.runUntil(evidence.request());
	const byTime = await clock.runUntil(evidence.wait(ENDS_AT));
	return {byTime, waited: clock.now() >= ENDS_AT, revoked: revoked.toSorted()};
}

/**
 * A primary is replaced. Whoever may still use it must have given that up, or its right to must have run out, before anybody is
 * ordered to lead: else a night that it acknowledges is lost.
 */
describe('the end of all evidence', () => {
	function doTest(name: string, hosts: readonly Host[], expected: Awaited<ReturnType<typeof end>>, confirms?: boolean, returned?: Parameters<typeof end>[2]) {
		it(name, async () => {
			expect(await end(hosts, confirms, returned)).to.deep.equal(expected);
		});
	}

	const living: Host = {name: 'entry-2', answers: true};
	doTest('comes at once where every host gives its own up, this one included', [living], {byTime: false, waited: false, revoked: ['entry-1', 'entry-2']});
	doTest('comes by time where a host does not answer', [living, {name: 'entry-3', answers: false}], {byTime: true, waited: true, revoked: ['entry-1', 'entry-2']});
	doTest('comes by time where a host is marked as gone: it may live, and is not asked', [living, {name: 'entry-3', gone: true, answers: true}], {
		byTime: true, waited: true, revoked: ['entry-1', 'entry-2'],
	});
	doTest('comes by time where the store does not say who the hosts are', [living], {byTime: true, waited: true, revoked: ['entry-1']}, false);
	doTest('comes by time where the store came back lately and may have lost a registration', [living], {byTime: true, waited: true, revoked: ['entry-1', 'entry-2']}, true, {mayLackHosts: true});
	doTest('is asked for at a host whose registration was lost', [living], {byTime: false, waited: false, revoked: ['entry-1', 'entry-2', 'entry-3']}, true, {
		lost: [{name: 'entry-3', answers: true}],
	});
	doTest('comes by time where a host whose registration was lost does not answer', [living], {byTime: true, waited: true, revoked: ['entry-1', 'entry-2']}, true, {
		lost: [{name: 'entry-3', answers: false}],
	});
});
