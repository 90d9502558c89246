import {expect} from 'chai';
import {EVIDENCE_MS} from '../../src/leadership/lead-evidence.js';
import {createStoreReturns} from '../../src/leadership/store-returns.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {LONGEST_WITHOUT_STORE_MS} from '../../src/mirror/peer-help.js';
import {placeInGeneration} from '../../src/mirror/store-generation.js';
import type {StoreMirror} from '../../src/mirror/store-mirror.js';

const [ONE, TWO] = ['entry-1', 'entry-2'].map(name => ({
	name, peerAddress: `${name}:7000`, availabilityZone: 'z', version: 3,
})) as [MirrorState['hosts'][number], MirrorState['hosts'][number]];

const BACK = placeInGeneration(1, 3);

/** A state that was read at a time, which the store confirmed. */
type Reading = Partial<MirrorState> & {readonly at: number};

/** What a host knows that read these states. */
function createReturns(...readings: readonly Reading[]) {
	let state = EMPTY_STATE;
	let now = 0;
	let tell!: () => void;
	const mirror = {
		get state() {
			return state;
		},
		get storeConfirmedAt() {
			return now;
		},
		onChange(listener: () => void) {
			tell = listener;
		},
	} as unknown as StoreMirror;
	const returns = createStoreReturns({mirror, elapsedClock: {elapsed: () => now}});
	for (const {at, ...next} of readings) {
		state = {...EMPTY_STATE, ...next};
		now = at;
		tell();
	}

	return returns;
}

describe('a list of hosts that may lack some', () => {
	/** Until when it may, in milliseconds from the last reading, within the longest time. */
	function doTest(name: string, readings: readonly Reading[], expectedMs: number) {
		it(`is told for ${expectedMs} ms ${name}`, () => {
			const returns = createReturns(...readings);
			const lastAt = readings.at(-1)!.at;
			const isTold = (ms: number) => returns.mayLackHosts(lastAt + ms);
			expect([expectedMs === 0 || isTold(expectedMs - 1), isTold(expectedMs)]).to.deep.equal([true, false]);
		});
	}

	doTest('of a store that never came back', [{at: 100, revision: 5, hosts: [ONE]}, {at: 800, revision: 6, hosts: [ONE]}], 0);
	doTest('after a return that this host saw', [{at: 100, revision: 5}, {at: 3000, revision: BACK}], EVIDENCE_MS + 150);
	doTest('after one that it saw late', [{at: 100, revision: 5}, {at: 100 + LONGEST_WITHOUT_STORE_MS, revision: BACK}], LONGEST_WITHOUT_STORE_MS + EVIDENCE_MS);
	doTest('by a host that starts where others have not registered again yet', [{at: 100, revision: BACK, hosts: [ONE]}], LONGEST_WITHOUT_STORE_MS + EVIDENCE_MS);
	doTest('by a host that starts where all have', [{at: 100, revision: BACK, hosts: [{...ONE, generation: 1}]}], 0);

	it('names those that were listed before and are not any more', () => {
		const returns = createReturns({at: 100, revision: 5, hosts: [ONE, TWO]}, {at: 900, revision: BACK, hosts: [ONE]});
		expect(returns.getLostHosts(900)).to.deep.equal([TWO]);
		expect(returns.getLostHosts(900 + LONGEST_WITHOUT_STORE_MS + EVIDENCE_MS)).to.deep.equal([]);
	});

	it('names none that has registered again', () => {
		const returns = createReturns({at: 100, revision: 5, hosts: [ONE, TWO]}, {at: 900, revision: BACK, hosts: [ONE]}, {at: 1600, revision: BACK + 1, hosts: [ONE, TWO]});
		expect(returns.getLostHosts(1600)).to.deep.equal([]);
	});
});
