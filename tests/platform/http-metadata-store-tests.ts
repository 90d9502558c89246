import {createServer, type Server} from 'node:http';
import {once} from 'node:events';
import type {AddressInfo} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {createLineLog} from '../../src/log/line-log.js';
import {createHttpMetadataStore} from '../../src/platform/http-metadata-store.js';
import {getServerId} from '../../src/platform/endpoint-identity.js';
import {createSystemClock} from '../../src/time/system-clock.js';

/*
 * Story: another program writes into the kind of the servers. One entry of it lacks its address, and the page that lists all servers cannot be
 * decoded as a whole: every host takes the store to be silent, loses its evidence after three seconds, and refuses all callers.
 */

const GOOD = {
	backend: 'nights', address: '10.1.0.9:8080', zone: 'hall-a', revision: 'v1', capacity: 3, state: 'ready', coldRemainingMs: 0, dbRole: 'replica', sequence: 4,
};

type Item = {readonly meta: {readonly name: string; readonly modRevision: number}; readonly spec: unknown};

const makeItem = (name: string, spec: unknown): Item => ({meta: {name, modRevision: 7}, spec});

const makePage = (items: readonly unknown[]) => JSON.stringify({items, hasMore: false, storeRevision: 9});

describe('the platform\'s store with entries of other writers', () => {
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
		const {content} = await store.listEndpoints(1000);
		await store.listEndpoints(1000);
		return {content, lines};
	};

	function doTest(name: string, foreign: unknown) {
		it(`${name} names no server, is said once, and hides none`, async () => {
			const {content, lines} = await listServers(makePage([makeItem('i-1', GOOD), foreign, makeItem('i-2', GOOD)]));
			expect(content.map(({id}) => id)).to.deep.equal(['i-1', 'i-2']);
			expect(lines.filter(line => line.includes('passed over'))).to.have.length(1);
		});
	}

	doTest('an empty entry', makeItem('x', {}));
	doTest('an entry of nothing', makeItem('x', null));
	doTest('text', makeItem('x', 'i-9 is up'));
	doTest('an address that is a number', makeItem('x', {...GOOD, address: 8080}));
	doTest('an address that cannot be connected to', makeItem('x', {...GOOD, address: 'nowhere'}));
	doTest('a capacity that is text', makeItem('x', {...GOOD, capacity: '3'}));
	doTest('an unknown state', makeItem('x', {...GOOD, state: 'resting'}));
	doTest('a birth that is no whole number', makeItem('x', {...GOOD, born: 17.5}));
	doTest('a name that does not fit into a message', makeItem('i 9', GOOD));
	doTest('an item without a name', {spec: GOOD});

	it('reads a page with bytes that no JSON holds', async () => {
		const {content} = await listServers(makePage([makeItem('i-1', GOOD), makeItem('x', 'A')]).replace('"A"', '"\u0001\u0002"'));
		expect(content.map(({id}) => id)).to.deep.equal(['i-1']);
	});

	it('takes each birth of a server for an endpoint of its own', async () => {
		const lives = [];
		for (const born of [1_790_000_000_000, 1_790_000_009_000]) {
			const {content} = await listServers(makePage([makeItem('i-1', {...GOOD, born})]));
			lives.push(content[0]!);
		}

		expect(lives[0]!.id).to.not.equal(lives[1]!.id);
		expect(lives.map(({server: name}) => name)).to.deep.equal(['i-1', 'i-1']);
		expect(lives.map(({id}) => getServerId(id))).to.deep.equal(['i-1', 'i-1']);
	});

	it('never throws on, and never loses a good entry beside, any JSON at all', async () => {
		const fields = fc.record(Object.fromEntries(Object.keys(GOOD).map(name => [name, fc.jsonValue()])), {requiredKeys: []});
		await fc.assert(fc.asyncProperty(fc.array(fc.oneof(fc.jsonValue(), fields), {maxLength: 5}), async specs => {
			const foreign = specs.map((spec, i) => makeItem(`x-${i}`, spec));
			const {content} = await listServers(makePage([...foreign, makeItem('i-1', GOOD)]));
			expect(content.map(({id}) => id)).to.include('i-1');
		}), {numRuns: 60, seed: 7});
	});

	it('keeps the configuration in force where the one that is stored cannot be read', async () => {
		body = makePage([makeItem('main', {revision: 'new'})]);
		const store = createHttpMetadataStore({
			address, clock: createSystemClock(), log: createLineLog(() => undefined), onCall: () => undefined, onGeneration: () => undefined,
		});
		expect(await store.readRouting(1000)).to.deep.equal({revision: 9, content: undefined});
	});
});
