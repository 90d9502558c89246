import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import type {MetadataStore} from '../../src/mirror/metadata-store.js';
import {qualifyByGeneration} from '../../src/mirror/store-generation.js';
import {createStoreReader} from '../../src/mirror/store-reader.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const EARLIER_GENERATION = 9;
const CURRENT_GENERATION = qualifyByGeneration(1, 5);

/** Revisions of a store's responses. */
type Revisions = {readonly store: number; readonly routing?: number; readonly hosts?: number};

/** Reads a store once that responds with these revisions, for a copy that is complete up to `held`. */
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
		getRouting: () => undefined,
		isRoutingComplete: () => true,
		mayReadRouting: () => true,
		adoptRouting: () => undefined,
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

describe('a read of the store', () => {
	function doTest(name: string, held: number, revisions: Revisions, expected: Awaited<ReturnType<typeof read>>) {
		it(name, async () => {
			expect(await read(held, revisions)).to.deep.equal(expected);
		});
	}

	doTest('confirms a copy of the same revision', EARLIER_GENERATION, {store: EARLIER_GENERATION}, {adopted: [], confirmed: true});
	doTest('applies a later revision', EARLIER_GENERATION, {store: EARLIER_GENERATION + 1}, {adopted: [EARLIER_GENERATION + 1], confirmed: true});
	doTest('applies what a restored store holds under a lower revision', EARLIER_GENERATION, {store: CURRENT_GENERATION}, {adopted: [CURRENT_GENERATION], confirmed: true});
	// The copy came from a peer that had read the restored store already.
	doTest('confirms nothing by a response of an earlier generation', CURRENT_GENERATION, {store: EARLIER_GENERATION + 90}, {adopted: [], confirmed: false});
	doTest('applies no lists of two generations', EARLIER_GENERATION, {store: CURRENT_GENERATION, routing: EARLIER_GENERATION + 1}, {adopted: [], confirmed: false});
	doTest('applies none if the last one shows a store restore', EARLIER_GENERATION, {store: EARLIER_GENERATION + 1, hosts: CURRENT_GENERATION}, {adopted: [], confirmed: false});
});
