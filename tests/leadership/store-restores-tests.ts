import {expect} from 'chai';
import {PRIMARY_LEASE_MS} from '../../src/leadership/primary-leases.js';
import {createStoreRestores} from '../../src/leadership/store-restores.js';
import {EMPTY_STATE, type MirrorState} from '../../src/mirror/mirror-state.js';
import {MAX_WITHOUT_STORE_MS} from '../../src/mirror/peer-confirmation.js';
import {qualifyByGeneration} from '../../src/mirror/store-generation.js';
import type {StoreMirror} from '../../src/mirror/store-mirror.js';

const [ONE, TWO] = ['entry-1', 'entry-2'].map(name => ({
	name, peerAddress: `${name}:7000`, availabilityZone: 'z', version: 3,
})) as [MirrorState['hosts'][number], MirrorState['hosts'][number]];

const RESTORED = qualifyByGeneration(1, 3);

/** A state that was read, and confirmed by the store, at a time. */
type Reading = Partial<MirrorState> & {readonly at: number};

/** Creates the tracking of a host that read these states. */
function createRestores(...readings: readonly Reading[]) {
	let state = EMPTY_STATE;
	let now = 0;
	let notify!: () => void;
	const mirror = {
		get state() {
			return state;
		},
		get storeConfirmedAt() {
			return now;
		},
		onChange(listener: () => void) {
			notify = listener;
		},
	} as unknown as StoreMirror;
	const restores = createStoreRestores({mirror, elapsedClock: {elapsed: () => now}});
	for (const {at, ...next} of readings) {
		state = {...EMPTY_STATE, ...next};
		now = at;
		notify();
	}

	return restores;
}

describe('a list of hosts that may lack some after a store restore', () => {
	/** Checks until when hosts may be missing, in milliseconds from the last reading. */
	function doTest(name: string, readings: readonly Reading[], expectedMs: number) {
		it(`may lack hosts for ${expectedMs} ms ${name}`, () => {
			const restores = createRestores(...readings);
			const lastAt = readings.at(-1)!.at;
			const mayLack = (ms: number) => restores.mayLackHosts(lastAt + ms);
			expect([expectedMs === 0 || mayLack(expectedMs - 1), mayLack(expectedMs)]).to.deep.equal([true, false]);
		});
	}

	doTest('if the store was never restored', [{at: 100, revision: 5, hosts: [ONE]}, {at: 800, revision: 6, hosts: [ONE]}], 0);
	doTest('after a restore that this host observed', [{at: 100, revision: 5}, {at: 3000, revision: RESTORED}], PRIMARY_LEASE_MS + 150);
	doTest('after a restore that it observed late', [{at: 100, revision: 5}, {at: 100 + MAX_WITHOUT_STORE_MS, revision: RESTORED}], MAX_WITHOUT_STORE_MS + PRIMARY_LEASE_MS);
	doTest('on a host that starts while others have not registered again yet', [{at: 100, revision: RESTORED, hosts: [ONE]}], MAX_WITHOUT_STORE_MS + PRIMARY_LEASE_MS);
	doTest('on a host that starts after all have registered again', [{at: 100, revision: RESTORED, hosts: [{...ONE, generation: 1}]}], 0);

	it('returns the hosts that were listed before and are missing now', () => {
		const restores = createRestores({at: 100, revision: 5, hosts: [ONE, TWO]}, {at: 900, revision: RESTORED, hosts: [ONE]});
		expect(restores.getLostHosts(900)).to.deep.equal([TWO]);
		expect(restores.getLostHosts(900 + MAX_WITHOUT_STORE_MS + PRIMARY_LEASE_MS)).to.deep.equal([]);
	});

	it('returns no host that has registered again', () => {
		const restores = createRestores({at: 100, revision: 5, hosts: [ONE, TWO]}, {at: 900, revision: RESTORED, hosts: [ONE]}, {at: 1600, revision: RESTORED + 1, hosts: [ONE, TWO]});
		expect(restores.getLostHosts(1600)).to.deep.equal([]);
	});
});
