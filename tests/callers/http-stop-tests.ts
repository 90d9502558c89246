import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {Worker} from 'node:worker_threads';
import {expect} from 'chai';
import type {CallerAnswer} from '../../src/callers/caller-answer.js';
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

/** What a caller received on its connection, and what it can say of each answer. */
type Received = {status: number; outcome: string; requestId: string; code: string | undefined; close: boolean};

/**
 * Callers on connections of their own, on a thread of their own: they can send while the host does not run. Each comes back
 * as soon as it has an answer, until the port is closed to it, or it gets none.
 */
const CALLERS_ON_A_THREAD = `
	const {connect} = require('node:net');
	const {parentPort, workerData: {port, text, count, state}} = require('node:worker_threads');
	const flags = new Int32Array(state);
	const texts = [];
	let sent = 0;
	let gone = 0;
	const noteSent = () => {
		sent++;
		if (sent === count) {
			Atomics.store(flags, 0, 2);
			Atomics.notify(flags, 0);
		}
	};
	const noteGone = () => {
		gone++;
		if (gone === count) {
			parentPort.postMessage(texts);
		}
	};
	const come = () => {
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
				come();
			} else {
				noteGone();
			}
		});
	};
	parentPort.postMessage('ready');
	Atomics.wait(flags, 0, 0);
	for (let caller = 0; caller < count; caller++) {
		come();
	}
`;

function toHttp(path: string, body: string, sentBytes = body.length): string {
	return `POST ${path} HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body.slice(0, sentBytes)}`;
}

function parseAnswers(text: string): Received[] {
	return text.split(/(?=HTTP\/1\.1 )/v).filter(part => part !== '').map(part => {
		const [head, body] = part.split('\r\n\r\n');
		const {outcome, requestId, refusal} = JSON.parse(body!) as CallerAnswer;
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
	// A connection that is broken off ends too; what counts is what came before.
	socket.on('error', () => undefined);
	await new Promise(resolve => {
		socket.once('close', resolve);
	});
	return parseAnswers(Buffer.concat(parts).toString());
}

describe('http callers at a stop', () => {
	const clock = createVirtualClock();
	const random = createSeededRandom(1);
	let callers: Callers;
	let calls: string[];
	let finish: Array<(answer: CallerAnswer) => void>;
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

			return new Promise<CallerAnswer>(resolve => {
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

	/** A connection that has had its first answer and is kept. */
	const openIdle = async () => {
		const socket = await open();
		socket.write(toHttp(REQUESTS, READ));
		await once(socket, 'data');
		await until(() => callers.inFlight === 0);
		calls = [];
		return socket;
	};

	/** Both in one turn of the event loop: what is sent is in the host's socket, and the host has not read it. */
	const sendAndStop = async (socket: Socket, text: string) => {
		socket.write(text);
		return callers.stop();
	};

	const REFUSED = {
		status: 503, outcome: 'not-run', code: 'host-leaving', close: true,
	};

	describe('what waits unread', () => {
		// A host is late when the time comes to end its connections: a coach's read has been waiting in the socket of a kept
		// connection for half a second. Ended by what the host has read, the connection counts as idle, and the coach gets
		// neither rows nor a refusal.
		it('is refused on a kept connection', async () => {
			const socket = await openIdle();
			const received = readToEnd(socket);
			await clock.runUntil(sendAndStop(socket, toHttp(REQUESTS, READ)));
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include(REFUSED);
			expect(calls).to.deep.equal([]);
		});

		// The balancer has opened connections and sent a request on each while the host was late; the host has not even taken
		// the connections when it closes its port. The event loop takes one of them a turn, and
		// whoever is refused comes back at once.
		const doTestNotTaken = (title: string, count: number) => {
			it(title, async () => {
				const state = new SharedArrayBuffer(4);
				const flags = new Int32Array(state);
				const workerData = {
					port: callers.port, text: toHttp(REQUESTS, READ), count, state,
				};
				const thread = new Worker(CALLERS_ON_A_THREAD, {eval: true, execArgv: [], workerData});
				await once(thread, 'message');
				Atomics.store(flags, 0, 1);
				Atomics.notify(flags, 0);
				Atomics.wait(flags, 0, 1);
				const received = once(thread, 'message');
				await clock.runUntil(callers.stop());
				const [texts] = await received as [string[]];
				await thread.terminate();
				const answers = texts.flatMap(text => parseAnswers(text));
				expect(answers).to.have.length(count);
				for (const answer of answers) {
					expect(answer).to.include(REFUSED);
				}
			});
		};

		doTestNotTaken('is refused on a connection that was not taken yet', 1);
		doTestNotTaken('is refused on each of many connections that were not taken yet', 60);

		// The host has closed its port and looks once more. A request that comes in just then is on a connection that counts
		// as idle, and closing a server in the usual way ends those first.
		it('is refused on a kept connection while the host looks for the last time', async () => {
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

		// A filing's commit has been waiting in the socket when its host ends. Begun now, it would be cut in the middle; the
		// commit was not taken, but an earlier try of it may have been.
		it('is not begun, though it belongs to a transaction', async () => {
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

	describe('what has not ended', () => {
		// A read takes longer than the host may go on. Ended with its connection, its caller would learn nothing; the host
		// is still there to say that the work may have run.
		it('is answered as unknown under its own id', async () => {
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

		// A tablet on a bad link has sent half a request when the host's time is up. No handler has it, so it will not run.
		it('is refused as not run where it has not arrived whole', async () => {
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

		// The tablet's link has let through only the first lines of its request. The host cannot know what is asked, and that
		// nothing has it.
		it('is refused as not run where not even its head has arrived', async () => {
			const socket = await openIdle();
			const received = readToEnd(socket);
			socket.write(toHttp(REQUESTS, READ).slice(0, 40));
			await clock.runUntil(callers.stop());
			const answers = await received;
			expect(answers).to.have.length(1);
			expect(answers[0]).to.include(REFUSED);
		});

		// The tablet sends its second request behind the first one, which is answered while the second comes in pieces. Told
		// twice, it would take the second refusal for the answer to its next request.
		it('is refused once where it came behind another one', async () => {
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

		// A connection that has sent nothing is owed nothing: an answer to no request would be taken for the next one's.
		it('says nothing on an idle connection', async () => {
			const received = [await openIdle(), await open()].map(async socket => readToEnd(socket));
			await clock.runUntil(callers.stop());
			expect(await Promise.all(received)).to.deep.equal([[], []]);
		});

		// The same tablet begins to send when its host looks for the last time.
		it('is refused as not run where it began to arrive at the very end', async () => {
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
		// Two hosts are replaced one after the other. A caller's write got no answer at the first and comes to the second
		// under the same id, as it was told to. This try is not taken, but the first one may have run: "not run" would have
		// the caller write again under a new id.
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
		doTestRepeat('says unknown of a write that is sent again', REQUESTS, () => ({...write, requestId: makeId(0), attempt: 2}), 'unknown');
		doTestRepeat('says unknown of a write whose id is old', REQUESTS, () => ({...write, requestId: makeId(251)}), 'unknown');
		doTestRepeat('says unknown of a transaction whose id is old', '/v1/groups/sleep/transactions', () => ({requestId: makeId(251)}), 'unknown');
		doTestRepeat('says not run of a write whose id is fresh', REQUESTS, () => ({...write, requestId: makeId(250)}), 'not-run');
		doTestRepeat('says not run of a read that is sent again', REQUESTS, () => ({
			kind: 'read', statement: 'x', requestId: makeId(251), attempt: 2,
		}), 'not-run');

		// A caller sends two requests on one connection without waiting for the first answer. Both run when the host is told
		// to stop; a first answer that closes the connection takes the second one's with it.
		it('answers all that runs on one connection', async () => {
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
