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
});
