import {expect} from 'chai';
import {
	createPrimaryLeases, PRIMARY_LEASE_MS, type PrimaryLease,
} from '../../src/leadership/primary-leases.js';
import type {LeadershipPhase} from '../../src/leadership/leadership-record.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {MAX_WITHOUT_STORE_MS} from '../../src/mirror/peer-confirmation.js';
import type {StoreMirror} from '../../src/mirror/store-mirror.js';

const SELF = 'entry-1:7000';

/** Creates a mirror whose state a test sets. */
function createSettableMirror() {
	const listeners: Array<() => void> = [];
	const held: {state: MirrorState; partsConfirmedAt: number | undefined} = {state: EMPTY_STATE, partsConfirmedAt: undefined};
	const mirror = {
		get state() {
			return held.state;
		},
		get partsConfirmedAt() {
			return held.partsConfirmedAt;
		},
		get storeConfirmedAt() {
			return held.partsConfirmedAt;
		},
		onChange(listener: () => void) {
			listeners.push(listener);
		},
		notifyUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	} as unknown as StoreMirror;

	return {
		mirror,
		set(phase: LeadershipPhase, epoch: number, askedAt: number, gone = false) {
			held.state = {
				...EMPTY_STATE,
				revision: epoch,
				hosts: [{
					name: 'entry-1', peerAddress: SELF, availabilityZone: 'a', version: 1, gone,
				}],
				leadership: new Map([['g', {
					group: 'g', primaryId: 'p', term: 1, epoch, phase, start: {term: 1, position: 0}, changedBy: 'x', version: epoch,
				}]]),
			};
			held.partsConfirmedAt = askedAt;
			for (const listener of listeners) {
				listener();
			}
		},
	};
}

function create(isKnownToAll = true) {
	const set = createSettableMirror();
	const primaryLeases = createPrimaryLeases({mirror: set.mirror, ownPeerAddress: SELF, isKnownToAll: () => isKnownToAll});
	return {...set, primaryLeases};
}

function getOrThrow(lease: PrimaryLease | undefined): PrimaryLease {
	expect(lease).to.not.equal(undefined);
	return lease!;
}

describe('a primary lease', () => {
	it('runs from the request, not from the response', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000);
		expect(primaryLeases.get('g', 1000 + PRIMARY_LEASE_MS - 1)?.primaryId).to.equal('p');
		expect(primaryLeases.get('g', 1000 + PRIMARY_LEASE_MS)).to.equal(undefined);
	});

	it('is renewed by each confirmation', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000);
		set('steady', 1, 2000);
		expect(primaryLeases.get('g', 2000 + PRIMARY_LEASE_MS - 1)?.epoch).to.equal(1);
	});

	it('is not given while the group is changing, and work in progress may still finish', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000);
		const begun = getOrThrow(primaryLeases.get('g', 1100));
		set('changing', 2, 1500);
		expect(primaryLeases.get('g', 1600)).to.equal(undefined);
		expect(primaryLeases.holds(begun, 1600)).to.equal(true);
		expect(primaryLeases.holds(begun, 1000 + PRIMARY_LEASE_MS)).to.equal(false);
	});

	it('ends permanently once it is revoked', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000);
		const begun = getOrThrow(primaryLeases.get('g', 1100));
		primaryLeases.revoke('g', 2);
		set('steady', 1, 1200);
		expect([primaryLeases.get('g', 1300), primaryLeases.holds(begun, 1300), primaryLeases.isSuperseded(begun)]).to.deep.equal([undefined, false, true]);
		set('steady', 2, 1400);
		expect(primaryLeases.get('g', 1500)?.epoch).to.equal(2);
	});

	it('is paused for new work only', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000);
		const begun = getOrThrow(primaryLeases.get('g', 1100));
		primaryLeases.pause('g', 2);
		expect([primaryLeases.get('g', 1200), primaryLeases.holds(begun, 1200)]).to.deep.equal([undefined, true]);
	});

	/** A running host was marked as unresponsive. No host sends it a request before a replacement any more, so it must not use a primary. */
	it('is not given to a host that is marked as unresponsive', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000, true);
		expect(primaryLeases.get('g', 1100)).to.equal(undefined);
	});

	it('is renewed by endpoints without a fence, for as long as other hosts are certain to know this one', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000);
		primaryLeases.noteUnfenced('g', 1, 3500);
		expect(primaryLeases.get('g', 3500 + PRIMARY_LEASE_MS - 1)?.epoch).to.equal(1);
		primaryLeases.noteUnfenced('g', 1, 1000 + MAX_WITHOUT_STORE_MS);
		expect(primaryLeases.get('g', 1000 + MAX_WITHOUT_STORE_MS)).to.equal(undefined);
	});

	/** A host gave up its lease for a change that its copy of the store does not contain. If it did not report that, the others would confirm each other's copies. */
	it('is reported as outdated if it was revoked for a change that the copy does not contain yet', () => {
		const {set, primaryLeases} = create();
		set('steady', 1, 1000);
		expect(primaryLeases.getOutdated()).to.deep.equal([]);
		primaryLeases.revoke('g', 2);
		expect(primaryLeases.getOutdated()).to.deep.equal(['g']);
		set('changing', 2, 1200);
		expect(primaryLeases.getOutdated()).to.deep.equal([]);
	});

	/** A host registered just before the store lost that. No host sends it a request, and the wait for its lease may end before an endpoint reports a fence to it. */
	it('is not renewed by endpoints if the host was new when the store was last read', () => {
		const {set, primaryLeases} = create(false);
		set('steady', 1, 1000);
		primaryLeases.noteUnfenced('g', 1, 3500);
		expect(primaryLeases.get('g', 1000 + PRIMARY_LEASE_MS)).to.equal(undefined);
	});

	it('is not renewed for another epoch', () => {
		const {set, primaryLeases} = create();
		set('steady', 2, 1000);
		primaryLeases.noteUnfenced('g', 1, 3500);
		expect(primaryLeases.get('g', 3500 + 1000)).to.equal(undefined);
	});
});
