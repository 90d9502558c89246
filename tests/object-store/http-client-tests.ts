import {once} from 'node:events';
import {createServer, type Server, type ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {createHttpClient, type HttpClient} from '../../src/object-store/http-client.js';
import {createSystemClock} from '../../src/time/system-clock.js';

const TIMEOUT_MS = 250;
const CHUNKS = 6;

/*
 * A large list arrives over a slow link, in longer than the timeout of the call. Given up each time, it is requested again from the beginning and never arrives whole.
 */
describe('a response that arrives slowly', () => {
	let server: Server;
	let client: HttpClient;
	let respond: (res: ServerResponse) => Promise<void>;

	beforeEach(async () => {
		server = createServer((_req, res) => {
			void respond(res);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		client = createHttpClient({baseUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, clock: createSystemClock()});
	});

	afterEach(() => {
		client.close();
		server.closeAllConnections();
		server.close();
	});

	async function sendSlowly(res: ServerResponse) {
		res.writeHead(200);
		for (let i = 0; i < CHUNKS; i++) {
			res.write('x'.repeat(1000));
			await sleep(TIMEOUT_MS / 3);
		}

		res.end();
	}

	async function sendHalf(res: ServerResponse) {
		res.writeHead(200);
		res.write('x');
	}

	async function sendWithoutEnd(res: ServerResponse) {
		res.writeHead(200);
		while (!res.destroyed) {
			res.write('x');
			await sleep(TIMEOUT_MS / 3);
		}
	}

	function doTest(name: string, send: (res: ServerResponse) => Promise<void>, waitsWhileReceiving: boolean, expected: number | 'no answer') {
		it(name, async () => {
			respond = send;
			const exchange = client.exchange({
				what: 'list', method: 'GET', path: '/', timeoutMs: TIMEOUT_MS, waitsWhileReceiving,
			});
			const outcome = await exchange.then(({text}) => text.length, () => 'no answer');
			expect(outcome).to.equal(expected);
		});
	}

	doTest('is received whole where the call waits while receiving', sendSlowly, true, CHUNKS * 1000);
	doTest('is given up at the timeout otherwise', sendSlowly, false, 'no answer');
	doTest('is given up where nothing more arrives', sendHalf, true, 'no answer');
	doTest('is given up after a few timeouts where it never ends', sendWithoutEnd, true, 'no answer');

	it('is received whole in many times its timeout', async () => {
		respond = async res => {
			res.writeHead(200);
			for (let i = 0; i < 10; i++) {
				res.write('x'.repeat(4000));
				await sleep(TIMEOUT_MS * 0.6);
			}

			res.end();
		};

		const {text} = await client.exchange({
			what: 'list', method: 'GET', path: '/', timeoutMs: TIMEOUT_MS, waitsWhileReceiving: true,
		});
		expect(text).to.have.lengthOf(40_000);
	});

	it('is waited for while another response fills the link, and no longer', async () => {
		respond = async res => {
			res.writeHead(200);
			if (res.req.url === '/large') {
				for (let i = 0; i < 25; i++) {
					res.write('x'.repeat(4000));
					await sleep(TIMEOUT_MS / 3);
				}

				res.end();
			} else if (res.req.url === '/late') {
				await sleep(TIMEOUT_MS * 2);
				res.end('here');
			}
		};

		const ask = async (path: string) => client.exchange({
			what: 'list', method: 'GET', path, timeoutMs: TIMEOUT_MS, waitsWhileReceiving: true,
		}).then(({text}) => text.length, () => 'no answer');
		expect(await Promise.all(['/large', '/late', '/lost'].map(async path => ask(path)))).to.deep.equal([100_000, 4, 'no answer']);
	}).timeout(5000);
});
