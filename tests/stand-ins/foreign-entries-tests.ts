import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import {createLineLog} from '../../src/log/line-log.js';
import type {MetadataStore} from '../../src/mirror/metadata-store.js';
import {createHttpMetadataStore} from '../../src/platform/http-metadata-store.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {startHttpStoreServer, type HttpStoreServer} from '../../src/stand-ins/metadata-store/http-store-server.js';
import {createInMemoryMetadataStore} from '../../src/stand-ins/metadata-store/in-memory-metadata-store.js';
import {createSystemClock} from '../../src/time/system-clock.js';
import {createProxyBench} from '../proxy/proxy-bench.js';

const GOOD = {
	backend: 'nights', address: '10.1.0.9:8080', zone: 'hall-a', revision: 'v1', capacity: 3, state: 'ready', coldRemainingMs: 0, dbRole: 'replica', sequence: 4,
};

/** Entries that define no endpoint, by what is wrong with them. */
const INVALID: Readonly<Record<string, unknown>> = {
	'is empty': {},
	'is null': null,
	'is a text': 'i-9 is up',
	'has no group': {...GOOD, backend: undefined},
	'has an empty group': {...GOOD, backend: ''},
	'has a number for its address': {...GOOD, address: 8080},
	'has an unknown state': {...GOOD, state: 'resting'},
	'has an unknown role': {...GOOD, dbRole: 'witness'},
	'has a text for its capacity': {...GOOD, capacity: '3'},
};

/**
 * Guards against an outage by one bad entry. Another program, or an operator's slip, writes an entry that no server wrote. If the list as a whole were
 * rejected, or the entry taken for an endpoint, every host would lose the group's endpoints or send reads to an address that does not exist.
 */
describe('entries that define no endpoint', () => {
	let server: HttpStoreServer;

	before(async () => {
		server = await startHttpStoreServer('127.0.0.1', 0);
	});

	after(() => {
		server.server.closeAllConnections();
		server.server.close();
	});

	const openHttp = (entries: Readonly<Record<string, unknown>>): MetadataStore => {
		for (const [name, spec] of Object.entries(entries)) {
			server.put('servers', name, spec);
		}

		const {port} = server.server.address() as AddressInfo;
		return createHttpMetadataStore({
			address: `127.0.0.1:${port}`, clock: createSystemClock(), log: createLineLog(() => undefined), onCall: () => undefined, onGeneration: () => undefined,
		});
	};

	const openInMemory = (entries: Readonly<Record<string, unknown>>): MetadataStore => {
		const store = createInMemoryMetadataStore(createSystemClock(), createSeededRandom(1));
		store.setForeignEntries(Object.entries(entries).map(([name, spec]) => ({meta: {name, modRevision: 1}, spec})));
		return store.getClient('entry-1');
	};

	for (const [standIn, open] of Object.entries({'over HTTP': openHttp, 'in memory': openInMemory})) {
		for (const [fault, spec] of Object.entries(INVALID)) {
			it(`leaves out one that ${fault}, and keeps the others, ${standIn}`, async () => {
				const {content} = await open({'i-1': GOOD, 'i-2': spec, 'i-3': GOOD}).listEndpoints(1000);
				expect(content.map(({id}) => id)).to.deep.equal(['i-1', 'i-3']);
			});
		}
	}

	it('leaves a proxy serving its group, also beside an endpoint of a group that no route names', async () => {
		const bench = await createProxyBench({proxies: 1});
		bench.system.store.setForeignEntries([
			...Object.values(INVALID).map((spec, i) => ({meta: {name: `x-${i}`, modRevision: 1}, spec})),
			{meta: {name: 'x-other', modRevision: 1}, spec: {...GOOD, backend: 'nobody'}},
			'no object at all',
		]);
		await bench.clock.advance(3000);
		const caller = await bench.open(bench.proxies[0]!, 'review');
		expect(await bench.ask(caller, 'READ a')).to.equal('done - idle');
	});
});
