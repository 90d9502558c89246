import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {StoreUpdate} from '../../src/mirror/mirror-calls.js';
import {createMirrorCopy} from '../../src/mirror/mirror-copy.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {createChangeFeedClient} from '../../src/mirror/change-feed-client.js';
import {qualifyByGeneration} from '../../src/mirror/store-generation.js';
import type {Peers} from '../../src/peers/peers.js';

const createState = (revision: number, hosts: readonly string[]): MirrorState => ({
	...EMPTY_STATE, revision, hosts: hosts.map(name => ({
		name, peerAddress: `${name}:7000`, availabilityZone: 'a', version: 1,
	})),
});

/** Polls one host, which responds with `update` after 40 ms; the copy takes over `meanwhile`, if given, before that. */
async function poll(update: Partial<StoreUpdate>, meanwhile?: MirrorState) {
	let now = 1000;
	const copy = createMirrorCopy(createSilentLog());
	copy.adopt(createState(10, ['a']));
	const client = createChangeFeedClient({
		peers: {
			async call() {
				now += 40;
				if (meanwhile) {
					copy.adopt(meanwhile);
				}

				return {
					heldMs: 0, revision: 10, changing: [], unfenced: [], ...update,
				};
			},
		} as unknown as Peers,
		copy,
		elapsedClock: {elapsed: () => now},
		log: createSilentLog(),
		getSilent: () => [],
		noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	const result = await client.poll('b:7000', 900);
	return {copy, result};
}

describe('what a host applies of a response', () => {
	function doTest(what: string, update: Partial<StoreUpdate>, confirmedAt: number | undefined) {
		it(what, async () => {
			const {copy} = await poll(update);
			expect(copy.partsConfirmedAt).to.equal(confirmedAt);
		});
	}

	doTest('nothing if the other host was never confirmed', {}, undefined);
	doTest('a confirmation as of its request, if that was not held', {ageMs: 0}, 1000);
	doTest('a confirmation as of later, by the time for which the request was held', {heldMs: 30, ageMs: 0}, 1030);
	doTest('a confirmation as of earlier, by its age beyond that time', {heldMs: 30, ageMs: 200}, 830);

	function doRoutingTest(what: string, update: Partial<StoreUpdate>, expected: {readonly confirmedAt?: number; readonly isComplete: boolean}) {
		it(what, async () => {
			const {copy} = await poll(update);
			expect({confirmedAt: copy.routingConfirmedAt, isComplete: copy.isRoutingComplete}).to.deep.equal({confirmedAt: undefined, ...expected});
		});
	}

	doRoutingTest('no confirmation of the configuration by hosts that confirmed each other', {ageMs: 0}, {isComplete: true});
	doRoutingTest('the store\'s confirmation of the configuration, as of its own time', {ageMs: 0, withoutStoreMs: 250}, {confirmedAt: 750, isComplete: true});
	doRoutingTest('the confirmation of a configuration that a later one follows, as of before', {
		revision: 20, ageMs: 0, withoutStoreMs: 0, wholeAgeMs: 400,
	}, {confirmedAt: 600, isComplete: false});
	doRoutingTest('none of a configuration that the store has never confirmed', {
		revision: 20, ageMs: 0, withoutStoreMs: 0, wholeAgeMs: Number.POSITIVE_INFINITY,
	}, {isComplete: false});

	/**
	 * While the request is in flight this host reads the store itself and sees an entry that is removed again before the response. The other host reports that it holds what this
	 * one did at its request; if that were taken for what this host holds now, the entry would stay.
	 */
	it('no later revision if the contents have changed since the request', async () => {
		const {copy, result} = await poll({revision: 20, ageMs: 0}, createState(15, ['a', 'b']));
		expect([copy.state.revision, copy.partsConfirmedAt, result?.confirmed]).to.deep.equal([15, undefined, false]);
	});

	/** Guards against a copy of a restored store that counts as confirmed because other hosts, which still hold what was lost, confirm each other. */
	it('no confirmation of an earlier generation', async () => {
		const {copy, result} = await poll({revision: 20, ageMs: 0}, createState(qualifyByGeneration(1, 8), ['a']));
		expect([copy.partsConfirmedAt, result?.confirmed]).to.deep.equal([undefined, false]);
	});
});
