import {Buffer} from 'node:buffer';
import {Agent, request, type IncomingHttpHeaders} from 'node:http';
import {connect} from 'node:net';
import {expect} from 'chai';
import type {CallerResponse} from '../../src/callers/caller-response.js';
import type {Callers} from '../../src/callers/callers.js';
import type {Entry} from '../../src/callers/entry.js';
import {createHttpCallers} from '../../src/callers/http-callers.js';
import type {RefusalRecord} from '../../src/explanations/refusal-record.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPromMetrics} from '../../src/metrics/prom-metrics.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const ID = '01941f29-7c00-7000-8000-000000000001';
const READ = {kind: 'read', statement: 'select 1'};
const REQUESTS = '/v1/groups/sleep/requests';

type Sent = {
	method?: string;
	path: string;
	body?: string | Uint8Array;
	headers?: Record<string, string>;
};
type Received = {status: number; headers: IncomingHttpHeaders; answer: CallerResponse};

describe('http callers', () => {
	const agent = new Agent({keepAlive: true});
	const clock = createVirtualClock();
	let callers: Callers;
	let records: RefusalRecord[];
	let calls: unknown[][];
	let reply: () => Promise<CallerResponse>;
	let openTransactions: number;

	beforeEach(async () => {
		records = [];
		calls = [];
		openTransactions = 0;
		reply = async () => ({
			outcome: 'done', requestId: ID, rows: [{n: 1}], session: 'next-token',
		});
		const answer = (name: string) => async (...args: unknown[]) => {
			calls.push([name, ...args]);
			return reply();
		};

		const entry: Entry = {
			execute: answer('execute'),
			resolveOutcome: answer('resolveOutcome'),
			begin: answer('begin'),
			run: answer('run'),
			commit: answer('commit'),
			rollback: answer('rollback'),
		};
		callers = createHttpCallers({
			entry,
			clock,
			random: createSeededRandom(1),
			log: createSilentLog(),
			metrics: createPromMetrics(),
			hostName: 'host-1',
			explanations: {
				record(record) {
					records.push(record);
					return 'ticket';
				},
			},
			address: '127.0.0.1',
			port: 0,
			drainMs: 0,
			countOpenTransactions: () => openTransactions,
		});
		await callers.start();
	});

	afterEach(async () => {
		await clock.runUntil(callers.stop());
	});

	const send = async ({method = 'POST', path, body, headers}: Sent) => new Promise<Received>((resolve, reject) => {
		const req = request({
			agent, port: callers.port, method, path, headers: {'content-type': 'application/json', ...headers},
		}, async res => {
			const parts = await res.toArray();
			const answer = JSON.parse(Buffer.concat(parts).toString()) as CallerResponse;
			resolve({status: res.statusCode!, headers: res.headers, answer});
		});
		req.on('error', reject);
		req.end(body);
	});

	const sendJson = async (path: string, body: unknown, headers?: Record<string, string>) => send({path, body: JSON.stringify(body), headers});

	it('passes several session tokens to the entry together', async () => {
		const {status} = await send({path: REQUESTS, body: JSON.stringify(READ), headers: {'aldercroft-session': 'a-token, b-token'}});
		expect(status).to.equal(200);
		expect(calls[0]?.at(-1)).to.equal('a-token, b-token');
	});

	describe('routes', () => {
		const defaults = {
			values: [], idempotent: false, latest: false, class: 'interactive', deadlineMs: 10_000, attempt: 1,
		};

		const doTest = (sent: Sent, expected: unknown[]) => {
			it(`${sent.method ?? 'POST'} ${sent.path} calls ${String(expected[0])}`, async () => {
				const {status, headers, answer} = await send({...sent, headers: {'aldercroft-session': 'a-token'}});
				expect(calls).to.deep.equal([expected]);
				expect(status).to.equal(200);
				expect(headers['aldercroft-session']).to.equal('next-token');
				expect(answer).to.deep.equal({
					outcome: 'done', requestId: ID, rows: [{n: 1}], session: 'next-token',
				});
			});
		};

		const body = JSON.stringify({...READ, requestId: ID});
		const read = {...READ, ...defaults, requestId: ID};
		doTest({path: REQUESTS, body}, ['execute', 'sleep', read, 'a-token']);
		doTest(
			{path: '/v1/groups/sleep/transactions', body: JSON.stringify({requestId: ID, class: 'deadline'})},
			['begin', 'sleep', {requestId: ID, class: 'deadline', deadlineMs: 10_000}, 'a-token'],
		);
		doTest({path: '/v1/transactions/t-1/requests', body}, ['run', 't-1', read, 'a-token']);
		doTest({path: '/v1/transactions/t-1/commit'}, ['commit', 't-1', 'a-token']);
		doTest({path: '/v1/transactions/t-1/rollback', body: '{}'}, ['rollback', 't-1', 'a-token']);
		doTest({method: 'GET', path: `${REQUESTS}/${ID}/outcome`}, ['resolveOutcome', 'sleep', ID, 'a-token']);

		it('creates an id for a request that has none', async () => {
			await sendJson(REQUESTS, READ);
			expect(calls[0]![2]).to.have.property('requestId').that.matches(/^[\da-f\-]{13}-7/v);
		});
	});

	describe('invalid requests', () => {
		const doTest = (title: string, sent: Sent, status: number, reason: string, code = 'malformed') => {
			it(title, async () => {
				const received = await send(sent);
				expect([received.status, received.answer.outcome, received.answer.refusal]).to.deep.equal([status, 'not-run', {code, reason, ticket: 'ticket'}]);
				expect(received.answer.requestId).to.not.equal(ID);
				expect(records[0]).to.include({requestId: received.answer.requestId, code, host: 'host-1'});
				expect(calls).to.deep.equal([]);
				const next = await sendJson(REQUESTS, READ);
				expect(next.status).to.equal(200);
			});
		};

		const post = (body: unknown): Sent => ({path: REQUESTS, body: JSON.stringify(body)});
		doTest('broken JSON', {path: REQUESTS, body: '{"kind": "read", "statement": "secret'}, 400, 'body: not JSON');
		doTest('broken UTF-8', {path: REQUESTS, body: Buffer.from('{"kind":"read","statement":"\u00FF"}', 'latin1')}, 400, 'body: not UTF-8');
		doTest('no body', {path: REQUESTS}, 400, 'body: Invalid input: expected object, received undefined');
		doTest('an oversized body', {path: REQUESTS, body: 'x'.repeat(1_048_577)}, 413, 'body: larger than 1 MiB');
		doTest('a missing field', post({kind: 'read', requestId: ID}), 400, 'field "statement": Invalid input: expected string, received undefined');
		doTest('an unknown field', post({...READ, requestId: ID, freshness: 1}), 400, 'field "freshness": unknown');
		doTest('an unknown class', post({...READ, class: 'gold'}), 400, 'field "class": Invalid option: expected one of "deadline"|"interactive"|"background"');
		doTest('a nested value', post({...READ, values: [1, {a: 1}]}), 400, 'field "values.1": expected a string, number, boolean or null');
		const rounded = '{"kind":"read","statement":"x","values":[9007199254740993]}';
		doTest('an integer that JSON rounds', {path: REQUESTS, body: rounded}, 400, 'field "values.0": integers beyond 2^53 are rounded on the way; send it as a string');
		doTest('an id that is no UUIDv7', post({...READ, requestId: 'x'}), 400, 'field "requestId": requestId must be a UUIDv7');
		doTest('a body where none is accepted', {path: '/v1/transactions/t-1/commit', body: '{"now":true}'}, 400, 'field "now": unknown');
		doTest('another content type', {path: REQUESTS, body: 'a=1', headers: {'content-type': 'text/plain'}}, 415, 'header "content-type": expected application/json');
		doTest('a wrong method', {method: 'PUT', path: REQUESTS, body: '{}'}, 405, 'method PUT: this route takes POST');
		doTest('an unknown route', {method: 'GET', path: '/v2?q=secret'}, 404, 'route GET /v2: unknown');
		doTest('a broken path', {method: 'GET', path: '/v1/groups/%ZZ/requests'}, 400, '\'/v1/groups/%ZZ/requests\' is not a valid url component');
		const badToken = 'header "aldercroft-session": not a token that this service made; send it as it came, or none';
		doTest('a session header with invalid characters', {...post(READ), headers: {'aldercroft-session': 'a b'}}, 400, badToken, 'bad-token');
		doTest('too many tokens in the session header', {...post(READ), headers: {'aldercroft-session': Array.from({length: 9}, () => 'a').join(',')}}, 400, badToken, 'bad-token');
		doTest('an empty token among others', {...post(READ), headers: {'aldercroft-session': 'a,,b'}}, 400, badToken, 'bad-token');
		doTest('an oversized session header', {...post(READ), headers: {'aldercroft-session': 'a'.repeat(2001)}}, 400, badToken, 'bad-token');

		it('responds `unknown` to an invalid query for the outcome of another request', async () => {
			const {status, answer} = await send({method: 'GET', path: `${REQUESTS}/${ID}/outcome`, headers: {'aldercroft-session': 'a b'}});
			expect([status, answer.outcome, answer.requestId]).to.deep.equal([400, 'unknown', ID]);
		});

		it('responds to bytes that are not HTTP', async () => {
			const socket = connect(callers.port, '127.0.0.1');
			socket.write('hello\r\n\r\n');
			const text = Buffer.concat(await socket.toArray()).toString();
			expect(text).to.match(/^HTTP\/1\.1 400 Bad Request\r\n[\s\S]*"code":"malformed","reason":"not HTTP\/1\.1, or not sent in time"/v);
		});
	});

	it('sends the retry delay in whole seconds, rounded up', async () => {
		reply = async () => ({outcome: 'not-run', requestId: ID, refusal: {code: 'queue-full', reason: 'full', retryAfterMs: 1001}});
		const {status, headers} = await sendJson(REQUESTS, READ);
		expect([status, headers['retry-after']]).to.deep.equal([429, '2']);
	});

	it('responds `unknown`, never `not-run`, when the entry fails', async () => {
		reply = async () => {
			throw new Error('bug');
		};

		const {status, answer} = await sendJson(REQUESTS, {...READ, requestId: ID});
		expect([status, answer.outcome, answer.requestId, answer.refusal?.code]).to.deep.equal([504, 'unknown', ID, 'host-fault']);
	});

	it('sends values that JSON cannot represent as text', async () => {
		reply = async () => ({outcome: 'done', requestId: ID, rows: [{n: 2n ** 60n}]});
		const {answer} = await sendJson(REQUESTS, READ);
		expect(answer.rows).to.deep.equal([{n: '1152921504606846976'}]);
	});

	describe('drain', () => {
		const until = async (isReached: () => boolean) => {
			while (!isReached()) {
				await clock.advance(0);
			}
		};

		const holdReply = () => {
			let finish!: (answer: CallerResponse) => void;
			reply = async () => new Promise(resolve => {
				finish = resolve;
			});
			return (answer: CallerResponse) => {
				finish(answer);
			};
		};

		const open = (body: string) => {
			const socket = connect(callers.port, '127.0.0.1');
			socket.write(`POST ${REQUESTS} HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: ${JSON.stringify(READ).length}\r\n\r\n${body}`);
			return socket;
		};

		const watchDrain = () => {
			const drain = {ended: false, promise: callers.drain(5000)};
			void drain.promise.then(() => {
				drain.ended = true;
			});
			return drain;
		};

		// Guards against a drain that aborts a read in flight, whose caller would see an error, and against one that accepts
		// new work and so never ends. The read gets its rows, and new work is refused so that it goes to another host.
		it('completes what is in flight and refuses new work', async () => {
			const finish = holdReply();
			const first = sendJson(REQUESTS, READ);
			await until(() => calls.length > 0);
			const drained = callers.drain(5000);
			const second = await sendJson(REQUESTS, {...READ, requestId: ID});
			expect(second.status).to.equal(503);
			expect(second.headers).to.include({connection: 'close', 'retry-after': '0'});
			expect(second.answer).to.deep.include({outcome: 'not-run', requestId: ID});
			expect(second.answer.refusal).to.include({code: 'host-leaving', retryAfterMs: 0});
			const queried = await send({method: 'GET', path: `${REQUESTS}/${ID}/outcome`});
			expect([queried.status, queried.answer.outcome]).to.deep.equal([504, 'unknown']);
			await until(() => callers.inFlight === 1);

			finish({outcome: 'done', requestId: ID});
			const {status, headers} = await first;
			expect([status, headers.connection]).to.deep.equal([200, 'close']);
			await drained;
			expect(calls).to.have.length(1);
		});

		// Guards against counting open connections only: a caller loses its connection while its write is at the database, the
		// host stops in the middle of the write, and the caller's next try cannot learn the outcome of the first.
		it('waits for work whose caller has disconnected', async () => {
			const finish = holdReply();
			const socket = open(JSON.stringify(READ));
			await until(() => calls.length > 0);
			socket.destroy();
			await clock.advance(0);
			const drain = watchDrain();
			await clock.advance(1000);
			expect(drain.ended).to.equal(false);
			finish({outcome: 'done', requestId: ID});
			await drain.promise;
		});

		// Guards against closing the connection of a request that is half sent when the drain begins: its caller would get no
		// response.
		it('waits for a request that is still arriving, and refuses it', async () => {
			const body = JSON.stringify(READ);
			const socket = open(body.slice(0, 5));
			await until(() => callers.inFlight === 1);
			const drain = watchDrain();
			await clock.advance(1000);
			expect(drain.ended).to.equal(false);
			socket.write(body.slice(5));
			const text = Buffer.concat(await socket.toArray()).toString();
			expect(text).to.match(/^HTTP\/1\.1 503 .*"code":"host-leaving"/sv);
			await drain.promise;
		});

		it('accepts the commit of an open transaction, and waits for the transaction no longer than the bound', async () => {
			openTransactions = 1;
			const drain = watchDrain();
			const {status} = await sendJson('/v1/transactions/t-1/commit', {});
			expect(status).to.equal(200);
			await clock.advance(4999);
			expect(drain.ended).to.equal(false);
			await clock.advance(1);
			await drain.promise;
		});
	});
});
