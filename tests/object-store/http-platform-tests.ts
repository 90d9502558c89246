import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import {expect} from 'chai';
import {createHttpPlatform} from '../../src/object-store/http-platform.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const TIMEOUT_MS = 3000;

/** Runs a test against a client whose server handles requests with `respond`. */
const withServer = async (
	respond: (req: IncomingMessage, res: ServerResponse) => void,
	test: (platform: ReturnType<typeof createHttpPlatform>, clock: ReturnType<typeof createVirtualClock>) => Promise<void>,
) => {
	const server = createServer(respond);
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const {port} = server.address() as AddressInfo;
	const clock = createVirtualClock();
	const platform = createHttpPlatform({baseUrl: `http://127.0.0.1:${port}`, clock});
	try {
		await test(platform, clock);
	} finally {
		await platform.stop?.();
		server.closeAllConnections();
		server.close();
	}
};

const showError = (err: unknown) => (err as Error).name;

describe('http platform', () => {
	const doTest = (title: string, status: number, body: string, expected: string) => {
		it(title, async () => {
			await withServer((_req, res) => {
				res.writeHead(status, {'content-type': 'application/json'}).end(body);
			}, async platform => {
				const result = await platform.get('group', 'a', TIMEOUT_MS).then(object => object ? 'object' : 'undefined', showError);
				expect(result).to.equal(expected);
			});
		});
	};

	doTest('accepts an object', 200, '{"kind":"group","name":"a","version":1,"value":{}}', 'object');
	doTest('accepts an object with a field that a newer platform adds', 200, '{"kind":"group","name":"a","version":1,"value":{},"owner":"x"}', 'object');
	doTest('returns undefined for an absent object', 404, '{"error":"object-missing","message":"there is no group a"}', 'undefined');
	doTest('distinguishes a wrong base URL from an absent object', 404, '{"message":"Route not found"}', 'PlatformError');
	doTest('rejects a body that is not JSON', 200, '<html>', 'PlatformError');
	doTest('rejects an object without a version', 200, '{"kind":"group","name":"a","value":{}}', 'PlatformError');
	doTest('rejects on a server error', 500, '{}', 'PlatformError');
	doTest('rejects with a refusal', 400, '{"message":"no such kind"}', 'PlatformRefusedError');
	doTest('rejects with a refusal without a message', 413, '', 'PlatformRefusedError');

	it('rejects at once where no server listens', async () => {
		const platform = createHttpPlatform({baseUrl: 'http://127.0.0.1:1', clock: createVirtualClock()});
		expect(await platform.hosts(TIMEOUT_MS).catch(showError)).to.equal('PlatformError');
	});

	it('opens a new connection once an idle one went silent', async () => {
		// Two connections are idle. A device on the network path drops the state of both: bytes sent on them are lost,
		// while new connections work. The client's first call on one times out; the next must not use the other.
		const known = new Set<Socket>();
		const arrivals: string[] = [];
		let isStateLost = false;
		const respond = (req: IncomingMessage, res: ServerResponse) => {
			const isKept = known.has(req.socket);
			arrivals.push(isKept ? 'kept' : 'fresh');
			known.add(req.socket);
			if (!(isStateLost && isKept)) {
				void setImmediate().then(() => res.end('{"revision":1,"objects":[]}'));
			}
		};

		const waitForArrivals = async (count: number) => {
			while (arrivals.length < count) {
				await setImmediate();
			}
		};

		await withServer(respond, async (platform, clock) => {
			await Promise.all([platform.list('group', '', TIMEOUT_MS), platform.list('group', '', TIMEOUT_MS)]);
			isStateLost = true;
			const lost = platform.list('group', '', TIMEOUT_MS).catch(showError);
			await waitForArrivals(3);
			expect(await clock.runUntil(lost)).to.equal('PlatformError');

			const next = platform.list('group', '', TIMEOUT_MS).catch(showError);
			await waitForArrivals(4);
			expect(arrivals).to.deep.equal(['fresh', 'fresh', 'kept', 'fresh']);
			expect(await next).to.deep.equal({revision: 1, objects: []});
		});
	});

	it('downloads the host list again only where it changed', async () => {
		const statuses: number[] = [];
		const respond = (req: IncomingMessage, res: ServerResponse) => {
			const isKnown = req.headers['if-none-match'] === '"e1"';
			statuses.push(isKnown ? 304 : 200);
			const hosts = [{
				name: 'h1', role: 'proxy', address: '127.0.0.1:7001', availabilityZone: 'hall-a', state: 'live',
			}];
			res.writeHead(isKnown ? 304 : 200, {etag: '"e1"'}).end(isKnown ? undefined : JSON.stringify(hosts));
		};

		await withServer(respond, async platform => {
			const first = await platform.hosts(TIMEOUT_MS);
			expect(await platform.hosts(TIMEOUT_MS)).to.deep.equal(first);
			expect(first.map(host => host.name)).to.deep.equal(['h1']);
			expect(statuses).to.deep.equal([200, 304]);
		});
	});
});
