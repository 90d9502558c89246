import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createSilentLog} from '../../src/log/silent-log.js';
import {RecordKind, type MetadataStore} from '../../src/mirror/metadata-store.js';
import {qualifyByGeneration} from '../../src/mirror/store-generation.js';
import {createHttpMetadataStore} from '../../src/platform/http-metadata-store.js';
import {startHttpStoreServer, type HttpStoreServer} from '../../src/stand-ins/metadata-store/http-store-server.js';
import {createSystemClock} from '../../src/time/system-clock.js';

const TIMEOUT_MS = 1000;

describe('HTTP metadata store across store generations', () => {
	let front: HttpStoreServer;
	let store: MetadataStore;
	const generations: number[] = [];

	before(async () => {
		front = await startHttpStoreServer('127.0.0.1', 0);
		store = createHttpMetadataStore({
			address: `127.0.0.1:${(front.server.address() as AddressInfo).port}`,
			clock: createSystemClock(),
			log: createSilentLog(),
			onCall: () => undefined,
			onGeneration(generation) {
				generations.push(generation);
			},
		});
	});

	after(() => {
		front.server.closeAllConnections();
		front.server.close();
	});

	it('qualifies revisions and versions by the store generation, and sends the store\'s own versions in conditions', async () => {
		const copy = front.takeBackup();
		const created = await store.putRecord(RecordKind.Hosts, {name: 'entry-1', version: 0, value: {a: 1}}, TIMEOUT_MS);
		const changed = await store.putRecord(RecordKind.Hosts, {name: 'entry-1', version: created.version, value: {a: 2}}, TIMEOUT_MS);
		expect([created.version, changed.version, await store.getRevision(TIMEOUT_MS)]).to.deep.equal([2, 3, 3].map(number => qualifyByGeneration(1, number)));
		front.restore(copy);
		expect(await store.getRevision(TIMEOUT_MS)).to.equal(qualifyByGeneration(2, 1));
		const again = await store.putRecord(RecordKind.Hosts, {name: 'entry-1', version: 0, value: {a: 3}}, TIMEOUT_MS);
		await store.deleteRecord(RecordKind.Hosts, 'entry-1', again.version, TIMEOUT_MS);
		const {content} = await store.listRecords(RecordKind.Hosts, TIMEOUT_MS);
		expect(content).to.deep.equal([]);
		expect([...new Set(generations)]).to.deep.equal([1, 2]);
	});

	/** Guards against a list that mixes pages from before and after a store restore. */
	it('rejects a list whose pages come from two store generations', async () => {
		for (let i = 0; i < 501; i++) {
			front.put('aldercroft-hosts', `entry-${i}`, {});
		}

		const listing = store.listRecords(RecordKind.Hosts, TIMEOUT_MS);
		front.server.once('request', () => {
			front.server.once('request', () => {
				front.restore(front.takeBackup());
			});
		});
		expect(await getMessage(listing)).to.include('two generations');
	});
});

async function getMessage(promise: Promise<unknown>) {
	try {
		await promise;
		return undefined;
	} catch (err) {
		return (err as Error).message;
	}
}
