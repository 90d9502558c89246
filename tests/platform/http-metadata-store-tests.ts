import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import fc from 'fast-check';
import {createLineLog} from '../../src/log/line-log.js';
import {PlatformRefusedError} from '../../src/object-store/platform-errors.js';
import {createHttpMetadataStore} from '../../src/platform/http-metadata-store.js';
import {getServerId} from '../../src/platform/endpoint-identity.js';
import {createSystemClock} from '../../src/time/system-clock.js';

/*
 * Guards against an outage that one unreadable entry causes. Another program writes an entry without an address among the servers. If the whole
 * page then fails to decode, every host takes the store to be silent, loses its primary leases after three seconds and refuses all callers.
 */

const GOOD = {
	backend: 'nights', address: '10.1.0.9:8080', zone: 'hall-a', revision: 'v1', capacity: 3, state: 'ready', coldRemainingMs: 0, dbRole: 'replica', sequence: 4,
};

type Item = {readonly meta: {readonly name: string; readonly modRevision: number}; readonly spec: unknown};

/** Long enough for a process that is suspended for seconds: no check here is about a platform that does not answer. */
const TIMEOUT_MS = 60_000;

const makeItem = (name: string, spec: unknown): Item => ({meta: {name, modRevision: 7}, spec});

const makePage = (items: readonly unknown[]) => JSON.stringify({items, hasMore: false, storeRevision: 9});

describe('HTTP metadata store with entries of other writers', () => {
	let server: Server;
	let body = '';
	let address = '';

	before(async () => {
		server = createServer((_req, res) => {
			res.writeHead(200, {'content-type': 'application/json'}).end(body);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	after(() => {
		server.closeAllConnections();
		server.close();
	});

	const listServers = async (page: string) => {
		body = page;
		const lines: string[] = [];
		const store = createHttpMetadataStore({
			address, clock: createSystemClock(), log: createLineLog(line => lines.push(line)), onCall: () => undefined, onGeneration: () => undefined,
		});
		const {content} = await store.listEndpoints(TIMEOUT_MS);
		await store.listEndpoints(TIMEOUT_MS);
		return {content, lines};
	};

	function doTest(name: string, foreign: unknown) {
		it(`skips ${name}, logs it once and keeps the other servers`, async () => {
			const {content, lines} = await listServers(makePage([makeItem('i-1', GOOD), foreign, makeItem('i-2', GOOD)]));
			expect(content.map(({id}) => id)).to.deep.equal(['i-1', 'i-2']);
			expect(lines.filter(line => line.includes('is skipped'))).to.have.length(1);
		});
	}

	doTest('an empty entry', makeItem('x', {}));
	doTest('a null entry', makeItem('x', null));
	doTest('a text entry', makeItem('x', 'i-9 is up'));
	doTest('an entry whose address is a number', makeItem('x', {...GOOD, address: 8080}));
	doTest('an entry whose address is not ip:port', makeItem('x', {...GOOD, address: 'nowhere'}));
	doTest('an entry whose capacity is a text', makeItem('x', {...GOOD, capacity: '3'}));
	doTest('an entry with an unknown state', makeItem('x', {...GOOD, state: 'resting'}));
	doTest('an entry whose start time is not a whole number', makeItem('x', {...GOOD, born: 17.5}));
	doTest('an entry whose name contains a blank', makeItem('i 9', GOOD));
	doTest('an item without a name', {spec: GOOD});
	doTest('an entry whose port does not exist', makeItem('x', {...GOOD, address: '10.1.0.9:99999'}));
	doTest('an entry whose port is zero', makeItem('x', {...GOOD, address: '10.1.0.9:0'}));
	doTest('an entry whose address has a part above 255', makeItem('x', {...GOOD, address: '10.1.0.999:8080'}));
	doTest('an entry whose address is that of many machines', makeItem('x', {...GOOD, address: '255.255.255.255:8080'}));
	doTest('an entry whose capacity is too large', makeItem('x', {...GOOD, capacity: 9_007_199_254_740_991}));
	doTest('an entry whose sequence is too large', makeItem('x', {...GOOD, sequence: 1e300}));
	doTest('an entry whose group ends a line', makeItem('x', {...GOOD, backend: 'nights x\r\nQUERY'}));
	doTest('an entry whose group has half of a surrogate pair', makeItem('x', {...GOOD, backend: '\uD800'}));
	doTest('a second entry of the same name', makeItem('i-1', {...GOOD, zone: 'hall-b'}));

	/** Guards against hosts that stop following the list: what was logged of an entry was written by a function that recurses. */
	it('skips an entry that is nested very deeply, as value and in a member', async () => {
		const nested = `${'['.repeat(100_000)}${']'.repeat(100_000)}`;
		const page = makePage([makeItem('x', 'NESTED'), makeItem('y', {...GOOD, zone: 'NESTED'}), makeItem('i-1', GOOD)]);
		const {content, lines} = await listServers(page.replaceAll('"NESTED"', nested));
		expect(content.map(({id}) => id)).to.deep.equal(['i-1']);
		expect(lines.filter(line => line.includes('is skipped'))).to.have.length(2);
	});

	it('logs each of many unusable entries once, however often they are read, and again after a change', async () => {
		const lines: string[] = [];
		const kinds: string[] = [];
		const store = createHttpMetadataStore({
			address, clock: createSystemClock(), log: createLineLog(line => lines.push(line)), onCall: () => undefined, onGeneration: () => undefined, onUnusableEntry: kind => kinds.push(kind),
		});
		const items = Array.from({length: 400}, (_, i) => makeItem(`x-${i}`, {odd: i}));
		body = makePage(items);
		await store.listEndpoints(TIMEOUT_MS);
		await store.listEndpoints(TIMEOUT_MS);
		expect(kinds).to.have.length(400);
		body = makePage([...items.slice(0, 399), makeItem('x-399', {odd: 'changed'})]);
		await store.listEndpoints(TIMEOUT_MS);
		await store.listEndpoints(TIMEOUT_MS);
		expect(kinds).to.have.length(401);
		expect(lines.filter(line => line.includes('is skipped'))).to.have.length(401);
	});

	it('goes on behind a page of unusable entries', async () => {
		const paths: string[] = [];
		const pages = [
			JSON.stringify({items: [{meta: {name: 'x', modRevision: 'new'}, spec: GOOD}], hasMore: true, storeRevision: 9}),
			makePage([makeItem('y', GOOD)]),
		];
		const paged = createServer((req, res) => {
			paths.push(req.url ?? '');
			res.writeHead(200, {'content-type': 'application/json'}).end(pages[paths.length - 1]);
		});
		paged.listen(0, '127.0.0.1');
		await once(paged, 'listening');
		const store = createHttpMetadataStore({
			address: `127.0.0.1:${(paged.address() as AddressInfo).port}`, clock: createSystemClock(), log: createLineLog(() => undefined), onCall: () => undefined, onGeneration: () => undefined,
		});
		try {
			const {content} = await store.listEndpoints(TIMEOUT_MS);
			expect(content.map(({id}) => id)).to.deep.equal(['y']);
			expect(paths[1]).to.equal('/objects/servers?after=x');
		} finally {
			paged.closeAllConnections();
			paged.close();
		}
	});

	it('reads a page with control characters that JSON does not allow', async () => {
		const {content} = await listServers(makePage([makeItem('i-1', GOOD), makeItem('x', 'A')]).replace('"A"', '"\u0001\u0002"'));
		expect(content.map(({id}) => id)).to.deep.equal(['i-1']);
	});

	it('treats each incarnation of a server as a separate endpoint', async () => {
		const incarnations = [];
		for (const born of [1_790_000_000_000, 1_790_000_009_000]) {
			const {content} = await listServers(makePage([makeItem('i-1', {...GOOD, born})]));
			incarnations.push(content[0]!);
		}

		expect(incarnations[0]!.id).to.not.equal(incarnations[1]!.id);
		expect(incarnations.map(({server: name}) => name)).to.deep.equal(['i-1', 'i-1']);
		expect(incarnations.map(({id}) => getServerId(id))).to.deep.equal(['i-1', 'i-1']);
	});

	it('never throws and keeps the valid entry whatever JSON the other entries are', async () => {
		const fields = fc.record(Object.fromEntries(Object.keys(GOOD).map(name => [name, fc.jsonValue()])), {requiredKeys: []});
		await fc.assert(fc.asyncProperty(fc.array(fc.oneof(fc.jsonValue(), fields), {maxLength: 5}), async specs => {
			const foreign = specs.map((spec, i) => makeItem(`x-${i}`, spec));
			const {content} = await listServers(makePage([...foreign, makeItem('i-1', GOOD)]));
			expect(content.map(({id}) => id)).to.include('i-1');
		}), {numRuns: 60, seed: 7});
	});

	it('returns no routing content where the stored configuration cannot be decoded', async () => {
		body = makePage([makeItem('main', {revision: 'new'})]);
		const store = createHttpMetadataStore({
			address, clock: createSystemClock(), log: createLineLog(() => undefined), onCall: () => undefined, onGeneration: () => undefined,
		});
		expect(await store.readRouting(TIMEOUT_MS)).to.deep.equal({revision: 9, content: undefined});
	});
});

describe('HTTP metadata store with records that another program has named', () => {
	let server: Server;
	let paths: string[] = [];
	let address = '';

	before(async () => {
		server = createServer((req, res) => {
			paths.push(req.url ?? '');
			res.writeHead(200, {'content-type': 'application/json'}).end(JSON.stringify(makeItem('x', {})));
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	});

	after(() => {
		server.closeAllConnections();
		server.close();
	});

	/** Guards against changes of another object, or of a whole kind, where the path that holds the name is resolved to another one. */
	function doTest(name: string, expected: readonly string[]) {
		it(`changes and deletes the record ${JSON.stringify(name)} at ${expected.length === 0 ? 'no path' : 'its own path'}`, async () => {
			paths = [];
			const store = createHttpMetadataStore({
				address, clock: createSystemClock(), log: createLineLog(() => undefined), onCall: () => undefined, onGeneration: () => undefined,
			});
			const results = await Promise.allSettled([
				store.putRecord('hosts', {name, version: 7, value: {}}, 60_000),
				store.deleteRecord('hosts', name, 7, 60_000),
			]);
			expect(paths.toSorted()).to.deep.equal(expected);
			const errors = results.filter(result => result.status === 'rejected').map(({reason}) => reason instanceof PlatformRefusedError);
			expect(errors).to.deep.equal(expected.length === 0 ? [true, true] : []);
		});
	}

	const getPaths = (encoded: string) => [`/objects/aldercroft-hosts/${encoded}`, `/objects/aldercroft-hosts/${encoded}?modRevision=7`];

	doTest('front-1', getPaths('front-1'));
	doTest('a/../b c?d', getPaths('a%2F..%2Fb%20c%3Fd'));
	doTest('...', getPaths('...'));
	doTest('..', []);
	doTest('.', []);
	doTest('', []);
	doTest('\uD800', []);
});

describe('HTTP metadata store behind a slow link', () => {
	const TIMEOUT_MS = 200;
	const PAGE = makePage(Array.from({length: 60}, (_, i) => makeItem(`i-${i}`, GOOD)));

	it('reads a list that takes longer than its timeout: it would be read anew from its beginning for ever', async () => {
		const server = createServer(async (_req, res) => {
			for (let sent = 0; sent < PAGE.length; sent += 2000) {
				res.write(PAGE.slice(sent, sent + 2000));
				await sleep(TIMEOUT_MS / 3);
			}

			res.end();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const store = createHttpMetadataStore({
			address: `127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createSystemClock(), log: createLineLog(() => undefined), onCall: () => undefined, onGeneration: () => undefined,
		});
		try {
			const {content} = await store.listEndpoints(TIMEOUT_MS);
			expect(content).to.have.lengthOf(60);
		} finally {
			server.closeAllConnections();
			server.close();
		}
	});
});
