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

type Host = {readonly name: string; readonly gone?: true; readonly responds: boolean};

/** Revokes the leases of those hosts; returns who gave up its lease, whether the full wait was needed and whether a lease may have ended only by expiring. */
async function revoke(hosts: readonly Host[], confirms = true, {mayLackHosts = false, lost = []}: {readonly mayLackHosts?: boolean; readonly lost?: readonly Host[]} = {}) {
	const clock = createVirtualClock(0);
	const revoked: string[] = [];
	const parts = {
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		log: createSilentLog(),
		ownPeerAddress: OWN,
		primaryLeases: {
			pause: () => undefined,
			revoke() {
				revoked.push('entry-1');
			},
		},
		storeRestores: {mayLackHosts: () => mayLackHosts, getLostHosts: () => lost.map(({name}) => ({name, peerAddress: `${name}:7000`}))},
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
				if (!host.responds) {
					throwPeerSilent(address, kind);
				}

				revoked.push(host.name);
			},
		},
	} as unknown as ReplacePrimaryParts;
	const revocation = createLeaseRevocation(parts, CHANGING, 0);
	await clock.runUntil(revocation.request());
	const byTime = await clock.runUntil(revocation.wait(ENDS_AT));
	return {byTime, waited: clock.now() >= ENDS_AT, revoked: revoked.toSorted()};
}

/**
 * A primary is replaced. Each host that may still use it must have given up its lease, or the lease must have expired, before a promotion is
 * ordered: otherwise a write that the old primary acknowledges is lost.
 */
describe('the revocation of all leases', () => {
	function doTest(name: string, hosts: readonly Host[], expected: Awaited<ReturnType<typeof revoke>>, confirms?: boolean, restored?: Parameters<typeof revoke>[2]) {
		it(name, async () => {
			expect(await revoke(hosts, confirms, restored)).to.deep.equal(expected);
		});
	}

	const running: Host = {name: 'entry-2', responds: true};
	doTest('is complete at once if every host gives up its lease, this one included', [running], {byTime: false, waited: false, revoked: ['entry-1', 'entry-2']});
	doTest('waits for expiry if a host does not respond', [running, {name: 'entry-3', responds: false}], {byTime: true, waited: true, revoked: ['entry-1', 'entry-2']});
	doTest('waits for expiry if a host is marked as unresponsive: it may be running, and is sent no request', [running, {name: 'entry-3', gone: true, responds: true}], {
		byTime: true, waited: true, revoked: ['entry-1', 'entry-2'],
	});
	doTest('waits for expiry if the store does not confirm the list of hosts', [running], {byTime: true, waited: true, revoked: ['entry-1']}, false);
	doTest('waits for expiry if the store was restored recently and may lack a registration', [running], {byTime: true, waited: true, revoked: ['entry-1', 'entry-2']}, true, {mayLackHosts: true});
	doTest('is requested from a host whose registration was lost', [running], {byTime: false, waited: false, revoked: ['entry-1', 'entry-2', 'entry-3']}, true, {
		lost: [{name: 'entry-3', responds: true}],
	});
	doTest('waits for expiry if a host whose registration was lost does not respond', [running], {byTime: true, waited: true, revoked: ['entry-1', 'entry-2']}, true, {
		lost: [{name: 'entry-3', responds: false}],
	});
});
