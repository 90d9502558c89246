import {expect} from 'chai';
import {guardGenerations} from '../../src/mirror/guard-generations.js';
import {RecordKind} from '../../src/mirror/metadata-store.js';
import {qualifyByGeneration} from '../../src/mirror/store-generation.js';
import {PlatformConflictError, PlatformError} from '../../src/object-store/platform-errors.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createInMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const TIMEOUT_MS = 900;

function createBench() {
	const clock = createVirtualClock();
	const store = createInMemoryMetadataStore(clock, createSeededRandom(1));
	const client = guardGenerations(store.getClient('entry-1'));
	const put = async (version: number, value: string) => client.putRecord(RecordKind.Leadership, {name: 'group.nights', version, value}, TIMEOUT_MS);
	return {
		clock, store, client, put,
	};
}

async function getError(promise: Promise<unknown>): Promise<unknown> {
	try {
		await promise;
		return undefined;
	} catch (err) {
		return err;
	}
}

describe('a restored store, as seen by a host', () => {
	it('has a higher revision than before, although the store itself reports a lower one', async () => {
		const {clock, store, client, put} = createBench();
		const copy = store.takeBackup();
		await clock.runUntil(put(0, 'a'));
		const before = await clock.runUntil(client.getRevision(TIMEOUT_MS));
		store.restore(copy);
		expect([before, await clock.runUntil(client.getRevision(TIMEOUT_MS))]).to.deep.equal([2, qualifyByGeneration(1, 1)]);
	});

	/** Guards against an update whose condition holds by chance, because the store assigned the version that it names again, to another host's change. */
	it('rejects a change under a version of the earlier generation', async () => {
		const {clock, store, client, put} = createBench();
		const copy = store.takeBackup();
		const {version} = await clock.runUntil(put(0, 'a'));
		store.restore(copy);
		await clock.runUntil(client.getRevision(TIMEOUT_MS));
		await clock.runUntil(store.getClient('entry-2').putRecord(RecordKind.Leadership, {name: 'group.nights', version: 0, value: 'b'}, TIMEOUT_MS));
		expect(await clock.runUntil(getError(put(version, 'c')))).to.be.instanceOf(PlatformConflictError);
		expect(store.getRecord(RecordKind.Leadership, 'group.nights')?.value).to.equal('b');
	});

	it('rejects a deletion under a version of the earlier generation', async () => {
		const {clock, store, client, put} = createBench();
		const {version} = await clock.runUntil(put(0, 'a'));
		store.restore(store.takeBackup());
		await clock.runUntil(client.getRevision(TIMEOUT_MS));
		const deleted = getError(client.deleteRecord(RecordKind.Leadership, 'group.nights', version, TIMEOUT_MS));
		expect(await clock.runUntil(deleted)).to.be.instanceOf(PlatformConflictError);
	});

	/** Guards against a host that takes a change to have been made in the generation that it knows, when it was made in the restored store. */
	it('reports no outcome for a change that was meant for the earlier generation', async () => {
		const {clock, store, put} = createBench();
		const {version} = await clock.runUntil(put(0, 'a'));
		store.restore(store.takeBackup());
		const err = await clock.runUntil(getError(put(version, 'c')));
		expect([err instanceof PlatformError, store.getRecord(RecordKind.Leadership, 'group.nights')?.value]).to.deep.equal([true, 'c']);
	});

	/** Guards against a response that was in transit during the restore and arrives after one of the new generation. */
	it('rejects a late response of the earlier generation', async () => {
		const {clock, store, client} = createBench();
		store.setFaults('entry-1', {responseMs: 200});
		const late = getError(client.getRevision(TIMEOUT_MS));
		await clock.advance(150);
		store.restore(store.takeBackup());
		store.heal();
		await clock.runUntil(client.getRevision(TIMEOUT_MS));
		expect(await clock.runUntil(late)).to.be.instanceOf(PlatformError);
	});
});
