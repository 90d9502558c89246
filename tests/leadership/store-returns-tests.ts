import {expect} from 'chai';
import {createStoreReturns} from '../../src/leadership/store-returns.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {placeInGeneration} from '../../src/mirror/store-generation.js';
import type {StoreMirror} from '../../src/mirror/store-mirror.js';

const LISTED = {
	name: 'entry-1', peerAddress: 'entry-1:7000', availabilityZone: 'z', version: 3,
};

/** What a host knows at elapsed time 1000 that read these states, one each time. */
function mayLack(...states: ReadonlyArray<Partial<MirrorState>>): boolean {
	let state = EMPTY_STATE;
	let tell!: () => void;
	const mirror = {
		get state() {
			return state;
		},
		onChange(listener: () => void) {
			tell = listener;
		},
	} as unknown as StoreMirror;
	const returns = createStoreReturns({mirror, elapsedClock: {elapsed: () => 1000}});
	for (const next of states) {
		state = {...EMPTY_STATE, ...next};
		tell();
	}

	return returns.mayLackHosts(1000);
}

describe('a list of hosts that may lack some', () => {
	function doTest(name: string, states: ReadonlyArray<Partial<MirrorState>>, expected: boolean) {
		it(`is ${expected ? '' : 'not '}told ${name}`, () => {
			expect(mayLack(...states)).to.equal(expected);
		});
	}

	doTest('of a store that never came back', [{revision: 5, hosts: [LISTED]}, {revision: 6, hosts: [LISTED]}], false);
	doTest('after a return that this host saw', [{revision: 5}, {revision: placeInGeneration(1, 3)}], true);
	doTest('by a host that starts where others have not registered again yet', [{revision: placeInGeneration(1, 3), hosts: [LISTED]}], true);
	doTest('by a host that starts where all have', [{revision: placeInGeneration(1, 3), hosts: [{...LISTED, generation: 1}]}], false);
});
