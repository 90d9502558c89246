import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {MetadataStore} from '../../src/mirror/metadata-store.js';
import {placeInGeneration} from '../../src/mirror/store-generation.js';
import {createStoreReader} from '../../src/mirror/store-reader.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const OF_BEFORE = 9;
const OF_NOW = placeInGeneration(1, 5);

/** Revisions of what a store answers. */
type Revisions = {readonly store: number; readonly routing?: number; readonly hosts?: number};

/** Reads a store once that answers under these revisions, for a copy of another. */
async function read(held: number, {store: revision, routing = revision, hosts = revision}: Revisions) {
	const clock = createVirtualClock();
	const adopted: number[] = [];
	let confirmed = false;
	const reader = createStoreReader({
		store: {
			getRevision: async () => revision,
			readRouting: async () => ({revision: routing, content: undefined}),
			listEndpoints: async () => ({revision, content: []}),
			listRecords: async (kind: string) => ({revision: kind === 'hosts' ? hosts : revision, content: []}),
		} as unknown as MetadataStore,
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		log: createSilentLog(),
		getRevision: () => held,
		adopt({revision: read}) {
			adopted.push(read);
		},
		onConfirmed() {
			confirmed = true;
		},
	});
	await clock.runUntil(reader.readAfterNow());
	return {adopted, confirmed};
}

describe('a reading of the store', () => {
	function doTest(name: string, held: number, revisions: Revisions, expected: Awaited<ReturnType<typeof read>>) {
		it(name, async () => {
			expect(await read(held, revisions)).to.deep.equal(expected);
		});
	}

	doTest('confirms a copy of the same revision', OF_BEFORE, {store: OF_BEFORE}, {adopted: [], confirmed: true});
	doTest('takes over what is later', OF_BEFORE, {store: OF_BEFORE + 1}, {adopted: [OF_BEFORE + 1], confirmed: true});
	doTest('takes over what a store holds that came back with a lower revision', OF_BEFORE, {store: OF_NOW}, {adopted: [OF_NOW], confirmed: true});
	// A peer had read the store that came back already.
	doTest('confirms nothing by an answer of an earlier generation', OF_NOW, {store: OF_BEFORE + 90}, {adopted: [], confirmed: false});
	doTest('takes no lists of two generations', OF_BEFORE, {store: OF_NOW, routing: OF_BEFORE + 1}, {adopted: [], confirmed: false});
	doTest('takes none where the last one shows the return', OF_BEFORE, {store: OF_BEFORE + 1, hosts: OF_NOW}, {adopted: [], confirmed: false});
});
