import {expect} from 'chai';
import type {CallerResponse, CallerRefusal} from '../../src/callers/caller-response.js';
import {createDaemon, type Daemon} from '../../src/daemon/create-daemon.js';
import {createStubDaemon, type StubDaemon} from './stub-daemon.js';

describe('daemon', () => {
	let stub: StubDaemon;
	let daemon: Daemon;
	let openTransactions: number;

	beforeEach(() => {
		stub = createStubDaemon();
		openTransactions = 0;
		daemon = createDaemon({...stub, countOpenTransactions: () => openTransactions});
	});

	afterEach(async () => {
		await stub.clock.runUntil(daemon.stop());
	});

	const send = async (port: number, path: string, body?: string) => {
		const res = await fetch(`http://127.0.0.1:${port}${path}`, {method: body === undefined ? 'GET' : 'POST', body, headers: body === undefined ? {} : {'content-type': 'application/json', authorization: 'Bearer x'}});
		return [res.status, await res.json()] as [number, Record<string, unknown>];
	};

	const getReady = async () => send(daemon.kernel.getOrThrow('operators').port, '/ready');

	const sendRead = async () => send(daemon.kernel.getOrThrow('callers').port, '/v1/groups/sleep/requests', '{"kind":"read","statement":"x"}');

	it('serves callers and operators', async () => {
		await daemon.start();
		const [status, answer] = await sendRead();
		expect([status, answer.outcome]).to.deep.equal([200, 'done']);
		const command = await send(daemon.kernel.getOrThrow('operators').port, '/v1/commands', '{"command":"show hosts"}');
		expect(command).to.deep.equal([200, {status: 'ok', text: 'show hosts', data: null}]);
	});

	// A host starts while the platform is down. If it reported itself as ready, the balancer would send it callers that it can only refuse.
	it('is ready only once it has started and has a configuration, until it stops', async () => {
		stub.behaviour.loaded = false;
		stub.behaviour.start = async () => {
			expect(await getReady()).to.deep.equal([503, {ready: false, reason: 'starting'}]);
		};

		await daemon.start();
		expect(await getReady()).to.deep.equal([503, {ready: false, reason: 'no configuration'}]);
		stub.behaviour.loaded = true;
		expect(await getReady()).to.deep.equal([200, {ready: true}]);
		const stopping = daemon.stop();
		expect(await getReady()).to.deep.equal([503, {ready: false, reason: 'leaving'}]);
		await stub.clock.runUntil(stopping);
	});

	// A host stops while a read is in flight at the database and a transaction is open, and before the balancer has noticed.
	it('stops gracefully: refuses new work, drains work in flight, then stops the services in reverse order', async () => {
		await daemon.start();
		let finish!: (answer: CallerResponse) => void;
		stub.behaviour.execute = async () => new Promise(resolve => {
			stub.events.push('reading');
			finish = resolve;
		});
		const inFlight = sendRead();
		while (!stub.events.includes('reading')) {
			await stub.clock.advance(0);
		}

		openTransactions = 1;
		const stopping = daemon.stop();
		const [status, refused] = await sendRead();
		expect([status, (refused.refusal as CallerRefusal).code]).to.deep.equal([503, 'host-leaving']);
		await stub.clock.advance(3000);
		expect(stub.events).to.deep.equal(['service starts', 'reading']);

		finish({outcome: 'done', requestId: ''});
		const [answered] = await inFlight;
		expect(answered).to.equal(200);
		await stub.clock.advance(3000);
		expect(stub.events).to.deep.equal(['service starts', 'reading']);

		openTransactions = 0;
		await stub.clock.runUntil(stopping);
		expect(stub.events).to.deep.equal(['service starts', 'reading', 'service stops', 'platform stops']);
	});

	it('keeps answering callers with 503 until the balancer has had time to notice', async () => {
		await daemon.start();
		const stopping = daemon.stop();
		await stub.clock.advance(1999);
		const [status] = await sendRead();
		expect(status).to.equal(503);
		expect(stub.events).to.not.include('service stops');
		await stub.clock.runUntil(stopping);
	});

	// Other proxies send their callers' requests to this host, which owns groups. If its services stopped first, those requests would be aborted.
	it('hands its groups to other hosts before any service stops', async () => {
		const daemonWithOwners = createDaemon({
			...stub,
			registerServices(kernel) {
				stub.registerServices(kernel);
				kernel.register('owners', {
					async leave(ms: number) {
						await stub.clock.sleep(5000);
						stub.events.push(`groups handed over within ${ms} ms`);
					},
				} as never);
			},
		});
		await daemonWithOwners.start();
		await stub.clock.runUntil(daemonWithOwners.stop());
		expect(stub.events).to.deep.equal(['service starts', 'groups handed over within 8000 ms', 'service stops', 'platform stops']);
	});

	// A read takes longer than the host may keep running. Its caller gets an answer before the services stop and the process ends.
	it('answers requests that do not complete within the drain share of the stop time', async () => {
		await daemon.start();
		stub.behaviour.execute = async () => new Promise(() => {
			stub.events.push('reading');
		});
		const inFlight = sendRead();
		while (!stub.events.includes('reading')) {
			await stub.clock.advance(0);
		}

		const stopping = daemon.stop();
		await stub.clock.advance(7999);
		expect(stub.events).to.deep.equal(['service starts', 'reading']);
		await stub.clock.runUntil(stopping);
		const [status, answer] = await inFlight;
		expect([status, answer.outcome, (answer.refusal as CallerRefusal).code]).to.deep.equal([504, 'unknown', 'host-leaving']);
		expect(stub.events.slice(2)).to.deep.equal([
			'work did not end within the bound', 'work did not end within the bound', 'service stops', 'platform stops',
		]);
	});

	// A host is asked to stop while a service is still starting, and the start of that service completes during the stop. If the remaining services
	// started, the port for callers would open in a process that is about to end, and callers that connect would be disconnected.
	it('does not open the port for callers after it was asked to stop', async () => {
		let completeStart: (() => void) | undefined;
		stub.behaviour.start = async () => new Promise(resolve => {
			completeStart = resolve;
		});
		const starting = daemon.start();
		while (!completeStart) {
			await stub.clock.advance(0);
		}

		const stopping = daemon.stop();
		completeStart();
		await starting;
		await stub.clock.runUntil(stopping);
		expect(() => daemon.kernel.getOrThrow('callers').port).to.throw(TypeError);
		expect(stub.events).to.deep.equal(['service stops', 'platform stops']);
	});

	it('stops within shutdownMs even if a service does not stop', async () => {
		await daemon.start();
		stub.behaviour.stop = async () => new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function
		const stoppedAt = stub.clock.now() + 10_000;
		await stub.clock.runUntil(daemon.stop());
		expect(stub.clock.now()).to.equal(stoppedAt);
		expect(stub.events.at(-1)).to.equal('the services did not stop within the bound');
	});
});
