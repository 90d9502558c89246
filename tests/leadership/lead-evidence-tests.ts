import {expect} from 'chai';
import {
	createLeadEvidences, EVIDENCE_MS, type LeadEvidence,
} from '../../src/leadership/lead-evidence.js';
import type {LeadPhase} from '../../src/leadership/leadership-record.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {LONGEST_WITHOUT_STORE_MS} from '../../src/mirror/peer-help.js';
import type {StoreMirror} from '../../src/mirror/store-mirror.js';

const SELF = 'entry-1:7000';

/** A mirror that a test sets by hand. */
function createSetMirror() {
	const listeners: Array<() => void> = [];
	const held: {state: MirrorState; confirmedAt: number | undefined} = {state: EMPTY_STATE, confirmedAt: undefined};
	const mirror = {
		get state() {
			return held.state;
		},
		get confirmedAt() {
			return held.confirmedAt;
		},
		get storeConfirmedAt() {
			return held.confirmedAt;
		},
		onChange(listener: () => void) {
			listeners.push(listener);
		},
		tellUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	} as unknown as StoreMirror;

	return {
		mirror,
		set(phase: LeadPhase, epoch: number, askedAt: number, gone = false) {
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
			held.confirmedAt = askedAt;
			for (const listener of listeners) {
				listener();
			}
		},
	};
}

function create(isKnownToAll = true) {
	const set = createSetMirror();
	const evidences = createLeadEvidences({mirror: set.mirror, ownPeerAddress: SELF, isKnownToAll: () => isKnownToAll});
	return {...set, evidences};
}

function getOrThrow(evidence: LeadEvidence | undefined): LeadEvidence {
	expect(evidence).to.not.equal(undefined);
	return evidence!;
}

describe('evidence of a primary', () => {
	it('lasts from the asking, not from the answer', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000);
		expect(evidences.get('g', 1000 + EVIDENCE_MS - 1)?.primaryId).to.equal('p');
		expect(evidences.get('g', 1000 + EVIDENCE_MS)).to.equal(undefined);
	});

	it('is given by each confirmation anew', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000);
		set('steady', 1, 2000);
		expect(evidences.get('g', 2000 + EVIDENCE_MS - 1)?.epoch).to.equal(1);
	});

	it('is not given while the group is changing, and what was begun may still end', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000);
		const begun = getOrThrow(evidences.get('g', 1100));
		set('changing', 2, 1500);
		expect(evidences.get('g', 1600)).to.equal(undefined);
		expect(evidences.holds(begun, 1600)).to.equal(true);
		expect(evidences.holds(begun, 1000 + EVIDENCE_MS)).to.equal(false);
	});

	it('ends for good once it is revoked', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000);
		const begun = getOrThrow(evidences.get('g', 1100));
		evidences.revoke('g', 2);
		set('steady', 1, 1200);
		expect([evidences.get('g', 1300), evidences.holds(begun, 1300), evidences.isSuperseded(begun)]).to.deep.equal([undefined, false, true]);
		set('steady', 2, 1400);
		expect(evidences.get('g', 1500)?.epoch).to.equal(2);
	});

	it('is paused for new work alone', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000);
		const begun = getOrThrow(evidences.get('g', 1100));
		evidences.pause('g', 2);
		expect([evidences.get('g', 1200), evidences.holds(begun, 1200)]).to.deep.equal([undefined, true]);
	});

	/** A host that did not answer was marked as gone; it lives. Nobody waits for it any more, so it must not go on as if asked. */
	it('is not given to a host that is marked as gone', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000, true);
		expect(evidences.get('g', 1100)).to.equal(undefined);
	});

	it('is lengthened by endpoints without a fence, for as long as the host can count on being asked', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000);
		evidences.noteUnfenced('g', 1, 3500);
		expect(evidences.get('g', 3500 + EVIDENCE_MS - 1)?.epoch).to.equal(1);
		evidences.noteUnfenced('g', 1, 1000 + LONGEST_WITHOUT_STORE_MS);
		expect(evidences.get('g', 1000 + LONGEST_WITHOUT_STORE_MS)).to.equal(undefined);
	});

	/** A host gave its evidence up for a change that its copy of the store does not show. Told that nothing changes, others would confirm each other. */
	it('that was given up for a change which the copy does not show yet is told of', () => {
		const {set, evidences} = create();
		set('steady', 1, 1000);
		expect(evidences.getOutdated()).to.deep.equal([]);
		evidences.revoke('g', 2);
		expect(evidences.getOutdated()).to.deep.equal(['g']);
		set('changing', 2, 1200);
		expect(evidences.getOutdated()).to.deep.equal([]);
	});

	/** Guards against a host that registered just before the store lost that: nobody asks it, and endpoints show it no fence before its evidence is waited out. */
	it('is not lengthened where the host was new when the store was last read', () => {
		const {set, evidences} = create(false);
		set('steady', 1, 1000);
		evidences.noteUnfenced('g', 1, 3500);
		expect(evidences.get('g', 1000 + EVIDENCE_MS)).to.equal(undefined);
	});

	it('is not lengthened for another epoch', () => {
		const {set, evidences} = create();
		set('steady', 2, 1000);
		evidences.noteUnfenced('g', 1, 3500);
		expect(evidences.get('g', 3500 + 1000)).to.equal(undefined);
	});
});
