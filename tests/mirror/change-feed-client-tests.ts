import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {StoreUpdate} from '../../src/mirror/mirror-calls.js';
import {createMirrorCopy} from '../../src/mirror/mirror-copy.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {createChangeFeedClient} from '../../src/mirror/change-feed-client.js';
import {placeInGeneration} from '../../src/mirror/store-generation.js';
import type {Peers} from '../../src/peers/peers.js';

const createState = (revision: number, hosts: readonly string[]): MirrorState => ({
	...EMPTY_STATE, revision, hosts: hosts.map(name => ({
		name, peerAddress: `${name}:7000`, availabilityZone: 'a', version: 1,
	})),
});

/** Asks one host, which answers with `news` 40 ms after the question; meanwhile something may happen here. */
async function ask(news: Partial<StoreUpdate>, meanwhile?: MirrorState) {
	let now = 1000;
	const copy = createMirrorCopy(createSilentLog());
	copy.adopt(createState(10, ['a']));
	const questions = createChangeFeedClient({
		peers: {
			async call() {
				now += 40;
				if (meanwhile) {
					copy.adopt(meanwhile);
				}

				return {
					heldMs: 0, revision: 10, changing: [], unfenced: [], ...news,
				};
			},
		} as unknown as Peers,
		copy,
		elapsedClock: {elapsed: () => now},
		log: createSilentLog(),
		getSilent: () => [],
		noteUnfenced() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	});
	const answer = await questions.poll('b:7000', 900);
	return {copy, answer};
}

describe('what a host takes from an answer', () => {
	function doTest(what: string, news: Partial<StoreUpdate>, confirmedAt: number | undefined) {
		it(what, async () => {
			const {copy} = await ask(news);
			expect(copy.confirmedAt).to.equal(confirmedAt);
		});
	}

	doTest('nothing where the other host was never confirmed', {}, undefined);
	doTest('a confirmation as of its question, where that had not waited', {ageMs: 0}, 1000);
	doTest('one as of later, by as much as the question had waited', {heldMs: 30, ageMs: 0}, 1030);
	doTest('one as of before, by what its age is beyond that', {heldMs: 30, ageMs: 200}, 830);

	/**
	 * While the question is under way this host reads the store itself and sees an entry that is gone again by the time of the answer. The other host says that it holds what this
	 * one did when it asked; taken for what it holds now, the entry would stay.
	 */
	it('no later revision for contents that have changed since it asked', async () => {
		const {copy, answer} = await ask({revision: 20, ageMs: 0}, createState(15, ['a', 'b']));
		expect([copy.state.revision, copy.confirmedAt, answer?.confirmed]).to.deep.equal([15, undefined, false]);
	});

	/** Guards against a copy of a store that came back which counts as confirmed because others, who still hold what is lost, confirm each other. */
	it('no confirmation of an earlier generation', async () => {
		const {copy, answer} = await ask({revision: 20, ageMs: 0}, createState(placeInGeneration(1, 8), ['a']));
		expect([copy.confirmedAt, answer?.confirmed]).to.deep.equal([undefined, false]);
	});
});
