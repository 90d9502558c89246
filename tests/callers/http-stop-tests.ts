import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import type {CallerResponse} from '../../src/callers/caller-response.js';
import type {Callers} from '../../src/callers/callers.js';
import type {Entry} from '../../src/callers/entry.js';
import {createHttpCallers} from '../../src/callers/http-callers.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createPromMetrics} from '../../src/metrics/prom-metrics.js';
import {createRequestId} from '../../src/random/request-id.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const READ = '{"kind":"read","statement":"select 1"}';
const REQUESTS = '/v1/groups/sleep/requests';
const COMMIT = '/v1/transactions/t-1/commit';

/** One response that a caller received on its connection. */
type Received = {status: number; outcome: string; requestId: string; code: string | undefined; close: boolean};

/**
 * Script of a worker thread that runs callers, each on its own connection: they can send while the host does not run. Each
 * connects again as soon as it has a response, until the port refuses it or it gets no response.
 */
const CALLER_THREAD_SCRIPT = `
	const {connect} = require('node:net');
	const {parentPort, workerData: {port, text, count, state}} = require('node:worker_threads');
	const flags = new Int32Array(state);
	const texts = [];
	let sent = 0;
	let done = 0;
	const noteSent = () => {
		sent++;
		if (sent === count) {
			Atomics.store(flags, 0, 2);
			Atomics.notify(flags, 0);
		}
	};
	const noteDone = () => {
		done++;
		if (done === count) {
			parentPort.postMessage(texts);
		}
	};
	const connectCaller = () => {
		const parts = [];
		let connected = false;
		const socket = connect(port, '127.0.0.1', () => {
			connected = true;
			socket.write(text, noteSent);
		});
		socket.on('data', part => parts.push(part));
		socket.on('error', () => undefined);
		socket.on('close', () => {
			if (connected) {
				texts.push(Buffer.concat(parts).toString());
			}

			if (parts.length > 0) {
				connectCaller();
			} else {
				noteDone();
			}
		});
	};
	parentPort.postMessage('ready');
	Atomics.wait(flags, 0, 0);
	for (let caller = 0; caller < count; caller++) {
		connectCaller();
	}
`;

function toHttp(path: string, body: string, sentBytes = body.length): string {
	return `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body.slice(0, sentBytes)}`;
}

function parseResponses(text: string): Received[] {
	return text.split(/(?=HTTP\/1\.1 )/v).filter(part => part !== '').map(part => {
		const [head, body] = part.split('\r\n\r\n');
		const {outcome, requestId, refusal} = JSON.parse(body!) as CallerResponse;
		return {
			status: Number(head!.slice(9, 12)), outcome, requestId, code: refusal?.code, close: /^connection: close$/imv.test(head!),
		};
	});
}

async function readToEnd(socket: Socket): Promise<Received[]> {
	const parts: Uint8Array[] = [];
	socket.on('data', part => {
		parts.push(part);
	});
	// A connection that is reset ends too; what it received before that counts.
	socket.on('error', () => undefined);
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return parseResponses(Buffer.concat(parts).toString());
}

describe('http callers at a stop', () => {
	const clock = createVirtualClock();
	const random = createSeededRandom(1);
	let callers: Callers;
	let calls: string[];
	let finish: Array<(answer: CallerResponse) => void>;
	let isHeld: boolean;

	beforeEach(async () => {
		calls = [];
		finish = [];
		isHeld = false;
		const answer = (name: string) => async () => {
			calls.push(name);
			if (!isHeld) {
				return {outcome: 'done', requestId: name} as const;
			}

			return new Promise<CallerResponse>(resolve => {
				finish.push(resolve);
			});
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
			random,
			log: createSilentLog(),
			metrics: createPromMetrics(),
			hostName: 'host-1',
			explanations: {record: () => 'ticket'},
			address: '127.0.0.1',
			port: 0,
			drainMs: 0,
		});
		await callers.start();
	});

	afterEach(async () => {
		await clock.runUntil(callers.stop());
	});

	const until = async (isReached: () => boolean) => {
		while (!isReached()) {
			await clock.advance(0);
		}
	};

	const open = async () => {
		const socket = connect(callers.port, '127.0.0.1');
		await once(socket, 'connect');
		return socket;
	};

	/** Opens a connection that has received its first response and is kept alive. */
	const openIdle = async () => {
		const socket = await open();
		socket.write(toHttp(REQUESTS, READ));
		await once(socket, 'data');
		await until(() => callers.inFlight === 0);
		calls = [];
		return socket;
	};

	/** Sends and stops in one turn of the event loop: the text is in the host's socket, and the host has not read it. */
	const sendAndStop = async (socket: Socket, text: string) => {
		socket.write(text);
		return callers.stop();
	};

	const REFUSED = {
		status: 503, outcome: 'not-run', code: 'host-leaving', close: true,
	};

	describe('an unread request', () => {
		// Guards against closing a kept-alive connection that only counts as idle because the host runs late: a read waits
		// unread in its socket, and its caller would get neither rows nor a refusal.
		it('is refused on a kept connection', async () => {
			const socket = await openIdle();
			const received = readToEnd(socket);
			await clock.runUntil(sendAndStop(socket, toHttp(REQUESTS, READ)));
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include(REFUSED);
			expect(calls).to.deep.equal([]);
		});

		// Guards against resetting connections that the host has not accepted when it closes its port, although a request was
		// sent on each while the host ran late. The event loop accepts one connection per turn, and refused callers connect
		// again at once.
		const doTestNotAccepted = (title: string, count: number) => {
			it(title, async () => {
				const state = new SharedArrayBuffer(4);
				const flags = new Int32Array(state);
				const workerData = {
					port: callers.port, text: toHttp(REQUESTS, READ), count, state,
				};
				const thread = new Worker(CALLER_THREAD_SCRIPT, {eval: true, execArgv: [], workerData});
				await once(thread, 'message');
				Atomics.store(flags, 0, 1);
				Atomics.notify(flags, 0);
				Atomics.wait(flags, 0, 1);
				const received = once(thread, 'message');
				await clock.runUntil(callers.stop());
				const [texts] = await received as [string[]];
				await thread.terminate();
				const answers = texts.flatMap(text => parseResponses(text));
				expect(answers).to.have.length(count);
				for (const answer of answers) {
					expect(answer).to.include(REFUSED);
				}
			});
		};

		doTestNotAccepted('is refused on a connection that was not accepted yet', 1);
		doTestNotAccepted('is refused on each of many connections that were not accepted yet', 60);

		// Guards against closing the connection of a request that arrives after the port was closed, while the host polls for
		// the last time: the connection counts as idle, and the HTTP server's own `close` closes idle connections first.
		it('is refused on a kept connection during the last poll', async () => {
			const socket = await openIdle();
			const received = readToEnd(socket);
			const stopping = callers.stop();
			await clock.advance(5);
			socket.write(toHttp(REQUESTS, READ));
			await clock.runUntil(stopping);
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include(REFUSED);
		});

		// Guards against running a commit that waits in the socket when the host closes its port: it would be aborted halfway.
		// The commit was not accepted, but an earlier try of it may have been, so its outcome is unknown.
		it('does not run, although it belongs to a transaction', async () => {
			const socket = await openIdle();
			const received = readToEnd(socket);
			await clock.runUntil(sendAndStop(socket, toHttp(COMMIT, '{}')));
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include({
				status: 504, outcome: 'unknown', code: 'host-leaving', close: true,
			});
			expect(calls).to.deep.equal([]);
		});
	});

	describe('an unfinished request', () => {
		// Guards against closing the connection of a request that takes longer than the host keeps running: its caller would
		// get no response, although the host can still say that the work may have run.
		it('gets the outcome `unknown` under its own id', async () => {
			isHeld = true;
			const requestId = createRequestId(clock.wall(), random);
			const socket = await open();
			const received = readToEnd(socket);
			socket.write(toHttp(REQUESTS, JSON.stringify({kind: 'write', statement: 'x', requestId})));
			await until(() => calls.length > 0);
			await clock.runUntil(callers.stop());
			const answers = await received;
			expect(answers).to.deep.equal([{
				status: 504, outcome: 'unknown', requestId, code: 'host-leaving', close: true,
			}]);
		});

		// A caller on a bad link has sent half a request when the host must stop. No handler has it, so it will not run.
		it('is refused as `not-run` if its body is incomplete', async () => {
			const socket = await open();
			const received = readToEnd(socket);
			socket.write(toHttp(REQUESTS, READ, 5));
			await until(() => callers.inFlight > 0);
			await clock.runUntil(callers.stop());
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include(REFUSED);
			expect(calls).to.deep.equal([]);
		});

		// Only the start of the request's head has arrived. The host cannot know what is requested, but it knows that no handler
		// has the request.
		it('is refused as `not-run` if its head is incomplete', async () => {
			const socket = await openIdle();
			const received = readToEnd(socket);
			socket.write(toHttp(REQUESTS, READ).slice(0, 40));
			await clock.runUntil(callers.stop());
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include(REFUSED);
		});

		// A caller pipelines a second request, which arrives in pieces while the first is answered. If it were refused twice,
		// the caller would take the second refusal for the response to its next request.
		it('is refused once if it was pipelined behind another one', async () => {
			const socket = await open();
			const received = readToEnd(socket);
			const second = toHttp(REQUESTS, READ);
			socket.write(toHttp(REQUESTS, READ) + second.slice(0, -9));
			await until(() => calls.length === 1 && callers.inFlight === 1);
			socket.write(second.slice(-9, -5));
			await clock.runUntil(callers.stop());
			const answers = await received;
			expect(answers.map(({status}) => status)).to.deep.equal([200, 503]);
		});

		// A connection that has sent nothing gets nothing: a response to no request would be taken for that to the next one.
		it('causes no response on an idle connection', async () => {
			const received = [await openIdle(), await open()].map(async socket => readToEnd(socket));
			await clock.runUntil(callers.stop());
			expect(await Promise.all(received)).to.deep.equal([[], []]);
		});

		// The request begins to arrive during the host's last poll.
		it('is refused as `not-run` if it begins to arrive during the last poll', async () => {
			const socket = await openIdle();
			const received = readToEnd(socket);
			const stopping = callers.stop();
			await clock.advance(5);
			socket.write(toHttp(REQUESTS, READ, 5));
			await clock.runUntil(stopping);
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include(REFUSED);
		});
	});

	describe('a leaving host', () => {
		// Guards against a false "not run" when two hosts are replaced one after the other: a write got no response from the
		// first host and is sent to the second under the same id, as callers are told to. This try is not accepted, but the first may
		// have run, and after "not run" the caller would write again under a new id.
		const doTestRepeat = (title: string, path: string, body: () => Record<string, unknown>, outcome: string) => {
			it(title, async () => {
				const socket = await open();
				const received = readToEnd(socket);
				const drained = callers.drain(5000);
				socket.write(toHttp(path, JSON.stringify(body())));
				const answers = await received;
				expect(answers).to.have.length(1);
				expect(answers[0]).to.include({
					status: outcome === 'unknown' ? 504 : 503, outcome, code: 'host-leaving', close: true,
				});
				await clock.runUntil(drained);
				expect(calls).to.deep.equal([]);
			});
		};

		const write = {kind: 'write', statement: 'x'};
		const makeId = (agoMs: number) => createRequestId(clock.wall() - agoMs, random);
		doTestRepeat('responds `unknown` to a write that is sent again', REQUESTS, () => ({...write, requestId: makeId(0), attempt: 2}), 'unknown');
		doTestRepeat('responds `unknown` to a write whose id is old', REQUESTS, () => ({...write, requestId: makeId(251)}), 'unknown');
		doTestRepeat('responds `unknown` to a transaction whose id is old', '/v1/groups/sleep/transactions', () => ({requestId: makeId(251)}), 'unknown');
		doTestRepeat('responds `not-run` to a write whose id is new', REQUESTS, () => ({...write, requestId: makeId(250)}), 'not-run');
		doTestRepeat('responds `not-run` to a read that is sent again', REQUESTS, () => ({
			kind: 'read', statement: 'x', requestId: makeId(251), attempt: 2,
		}), 'not-run');

		// Guards against a response that closes its connection while a pipelined request on it is in progress: both requests
		// run when the host begins to stop, and the response to the second would be lost.
		it('responds to all requests in progress on one connection', async () => {
			isHeld = true;
			const socket = await open();
			const received = readToEnd(socket);
			socket.write(toHttp(REQUESTS, READ) + toHttp(REQUESTS, READ));
			await until(() => calls.length === 2);
			const drained = callers.drain(5000);
			finish[0]!({outcome: 'done', requestId: 'first'});
			await clock.advance(0);
			finish[1]!({outcome: 'done', requestId: 'second'});
			const answers = await received;
			expect(answers.map(({requestId, close}) => `${requestId} ${close}`)).to.deep.equal(['first false', 'second true']);
			await clock.runUntil(drained);
		});
	});
});
