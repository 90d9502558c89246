import {expect} from 'chai';
import fc from 'fast-check';
import {createSilentLog} from '../../src/log/silent-log.js';
import {EMPTY_ID, getContentsId} from '../../src/mirror/contents-id.js';
import {createContentsReceiver} from '../../src/mirror/contents-receiver.js';
import {createContentsSender} from '../../src/mirror/contents-sender.js';
import {createMirrorCopy} from '../../src/mirror/mirror-copy.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {applyStateDifference, getStateDifference} from '../../src/mirror/state-difference.js';
import type {Peers} from '../../src/peers/peers.js';
import {createRouting} from '../../src/bench/news-spread/mirror-fleet.js';

/** Creates a state of some hosts, endpoints and routes; each host's number determines its version and its endpoint's contents. */
function createState(revision: number, hosts: Readonly<Record<string, number>>, routeCount = 3): MirrorState {
	return {
		revision,
		routing: createRouting(routeCount, routeCount),
		endpoints: Object.entries(hosts).map(([name, slots]) => ({
			id: `i-${name}`, server: `i-${name}`, group: 'g0', address: '10.0.0.1:5432', availabilityZone: 'a', slots, leaving: false, claimsLead: slots % 2 === 0,
		})),
		leadership: new Map(),
		hosts: Object.entries(hosts).map(([name, version]) => ({
			name, peerAddress: `${name}:7000`, availabilityZone: 'a', version,
		})),
	};
}

const stateArbitrary = fc.tuple(fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), fc.integer({min: 1, max: 4})), fc.integer({min: 1, max: 4}))
	.map(([hosts, routes]) => createState(1, hosts, routes));

/** Creates peers that respond with the pieces that `getPiece` returns. */
function createPiecePeers(getPiece: (key: string, offset: number) => Uint8Array | undefined): Peers {
	return {call: async (_address: string, _kind: string, {key, offset}: {readonly key: string; readonly offset: number}) => ({bytes: getPiece(key, offset)})} as unknown as Peers;
}

describe('differences between contents', () => {
	it('lead to the contents they were computed for, whatever both ends hold', () => {
		fc.assert(fc.property(stateArbitrary, stateArbitrary, (base, next) => {
			const difference = getStateDifference(base, getContentsId(base), next, getContentsId(next));
			const applied = applyStateDifference(base, getContentsId(base), difference, 9);
			expect(applied && getContentsId(applied)).to.deep.equal(getContentsId(next));
		}), {seed: 3});
	});

	/** Guards against a copy that no host ever held: a difference applied to other contents than it was computed from. */
	it('are not applied to other contents than they were computed from', () => {
		const base = createState(1, {a: 1, b: 1});
		const next = createState(2, {a: 1, b: 2});
		const other = createState(1, {a: 3, b: 1});
		const difference = getStateDifference(base, getContentsId(base), next, getContentsId(next));
		expect(applyStateDifference(other, getContentsId(other), difference, 2)).to.equal(undefined);
	});

	it('are not applied if the result does not match its identifier', () => {
		const base = createState(1, {a: 1});
		const next = createState(2, {a: 2, b: 1});
		const difference = getStateDifference(base, getContentsId(base), next, getContentsId(next));
		const incomplete = {...difference, hosts: {...difference.hosts!, changed: []}};
		expect(applyStateDifference(base, getContentsId(base), incomplete, 2)).to.equal(undefined);
	});

	/** A host of an earlier version passes on records without the members that it does not know. A copy without them counted as equal would never be completed. */
	it('include members of a record that a host of an earlier version dropped', () => {
		const whole = createState(2, {a: 1});
		const next = {...whole, hosts: whole.hosts.map(host => ({...host, storeRttMs: 5}))};
		const difference = getStateDifference(whole, getContentsId(whole), next, getContentsId(next));
		expect(applyStateDifference(whole, getContentsId(whole), difference, 2)?.hosts[0]?.storeRttMs).to.equal(5);
	});

	it('keep the identity of unchanged parts', () => {
		const copy = createMirrorCopy(createSilentLog());
		copy.adopt(createState(1, {a: 1, b: 1}));
		const before = copy.state;
		copy.adopt(createState(2, {a: 1, b: 1}));
		expect([copy.state.hosts === before.hosts, copy.state.endpoints === before.endpoints, copy.state.revision]).to.deep.equal([true, true, 2]);
	});
});

describe('transfer of contents', () => {
	/** Creates a sender that holds a large configuration, and its first piece for a host that holds nothing. */
	function createLarge() {
		const sender = createContentsSender();
		const state = createState(5, {a: 1}, 1852);
		sender.addContents(state, getContentsId(state));
		return {sender, state, first: sender.getFirstPiece(EMPTY_ID)};
	}

	it('splits them into pieces, between which a link is free', async () => {
		const {sender, state, first} = createLarge();
		expect(first.bytes.length).to.be.lessThan(40_000);
		const difference = await createContentsReceiver(createPiecePeers(sender.getPiece), createSilentLog()).receive('a:7000', first);
		const applied = applyStateDifference(EMPTY_STATE, EMPTY_ID, difference!, 5);
		expect(applied?.routing?.routes.size).to.equal(state.routing!.routes.size);
	});

	it('sends little if little has changed', () => {
		const {sender, state} = createLarge();
		const next = {...state, revision: 6, hosts: createState(6, {a: 2}).hosts};
		sender.addContents(next, getContentsId(next));
		expect(sender.getFirstPiece(getContentsId(state)).size).to.be.lessThan(500);
	});

	it('sends only those parts whole that the other host holds differently', () => {
		const {sender, state} = createLarge();
		expect(sender.getFirstPiece({...getContentsId(state), hosts: 'unknown'}).size).to.be.lessThan(500);
	});

	function doTest(what: string, spoil: (bytes: Uint8Array | undefined, offset: number) => Uint8Array | undefined) {
		it(`drops an update if a piece is ${what}`, async () => {
			const {sender, first} = createLarge();
			const receiver = createContentsReceiver(createPiecePeers((key, offset) => spoil(sender.getPiece(key, offset), offset)), createSilentLog());
			const difference = await receiver.receive('a:7000', first);
			expect(difference && applyStateDifference(EMPTY_STATE, EMPTY_ID, difference, 5)).to.equal(undefined);
		});
	}

	doTest('no longer available', () => undefined);
	doTest('empty', () => new Uint8Array(0));
	doTest('damaged', bytes => bytes?.map(byte => byte ^ 0x55));
	doTest('the first one again', () => createLarge().first.bytes);

	/** Hosts of the same region receive a large change one from another. Each would compress it again, at the cost of its third of a core. */
	it('in compact form is compressed, sent in small pieces, and forwarded as it was received', async () => {
		const sender = createContentsSender();
		const next = createState(1, {a: 1}, 1700);
		sender.addContents(next, getContentsId(next));
		const first = sender.getFirstPiece(EMPTY_ID, true);
		expect([first.size < 20_000, first.bytes.length]).to.deep.equal([true, 8192]);
		const forwarder = createContentsSender();
		const received = await createContentsReceiver(createPiecePeers(sender.getPiece), createSilentLog(), forwarder.keep).receive('a:7000', first);
		forwarder.addContents(next, getContentsId(next));
		const forwarded = forwarder.getFirstPiece(EMPTY_ID, true);
		expect(received).to.deep.equal(await createContentsReceiver(createPiecePeers(forwarder.getPiece), createSilentLog()).receive('b:7000', forwarded));
		expect(forwarded.bytes).to.deep.equal(first.bytes);
	});

	it('in compact form that is damaged is not applied', async () => {
		const sender = createContentsSender();
		const next = createState(1, {a: 1}, 1700);
		sender.addContents(next, getContentsId(next));
		const first = sender.getFirstPiece(EMPTY_ID, true);
		const peers = createPiecePeers((key, offset) => sender.getPiece(key, offset)?.toReversed());
		expect(await createContentsReceiver(peers, createSilentLog()).receive('a:7000', first)).to.equal(undefined);
	});
});
