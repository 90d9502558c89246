import {expect} from 'chai';
import type {PrimaryLease} from '../../src/leadership/primary-leases.js';
import type {EndpointLink, EndpointRequest} from '../../src/links/endpoint-link.js';
import {createLinkLost} from '../../src/links/link-errors.js';
import {createSessionLink, type SessionLink} from '../../src/links/link-session.js';
import {createCheckoutServer, type CheckoutServerOptions} from '../../src/connection-sharing/checkout-server.js';
import type {CheckoutResponse, CheckoutRequest} from '../../src/connection-sharing/checkout-calls.js';
import type {PeerCalls} from '../../src/peers/peer-calls.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';
import {SessionState} from '../../src/statements/statement.js';
import type {EndpointAnswer} from '../../src/statements/statement-answer.js';

const REMOTE_HOST = {address: 'remote:7000'};

const REQUEST: CheckoutRequest = {
	endpointId: 'i-1', priority: 1, waitMs: 120, values: [], single: false,
};

const ANSWERED: EndpointAnswer = {rows: [], end: {kind: 'complete'}, state: SessionState.Open};

/** Creates a promise that is resolved or rejected from outside. */
function createPromise<T>() {
	let resolve!: (value: T) => void;
	let reject!: (err: unknown) => void;
	const promise = new Promise<T>((_resolve, _reject) => {
		resolve = _resolve;
		reject = _reject;
	});
	return {promise, resolve, reject};
}

/** Creates a checkout server with one connection, which is acquired and answers when the test says so. */
function createBench() {
	const handlers = new Map<string, (req: unknown, from: unknown) => Promise<unknown>>();
	const clock = createVirtualClock(0);
	const sent: string[] = [];
	const given = createPromise<SessionLink | undefined>();
	let waiting: ReturnType<typeof createPromise<EndpointAnswer>> | undefined;
	let released = 0;
	let closed = false;
	let lease: Pick<PrimaryLease, 'epoch' | 'primaryId'> | undefined;
	const link = {
		get pending() {
			return waiting ? 1 : 0;
		},
		get closed() {
			return closed;
		},
		async exchange({command}: EndpointRequest) {
			sent.push(command.kind);
			waiting = createPromise();
			return waiting.promise;
		},
		cut() {
			closed = true;
			waiting?.reject(createLinkLost('i-1:5432', 'cut by this host'));
		},
	};
	const ownPool = {
		health: {getSuspicion: () => undefined},
		acquire: async () => given.promise,
		release() {
			released++;
		},
	};
	const checkoutServer = createCheckoutServer({
		peers: {
			handle(kind: string, handler: (req: unknown, from: unknown) => Promise<unknown>) {
				handlers.set(kind, handler);
			},
		},
		directory: {get: () => ({entry: {id: 'i-1', group: 'nights'}, ownPool}), mayTakeWork: () => true},
		primaryLeases: {get: () => lease},
		clock,
		elapsedClock: {elapsed: () => clock.now()},
		random: createSeededRandom(1),
		log: createSilentLog(),
		getMaxIdleMs: () => 3000,
	} as unknown as CheckoutServerOptions);

	return {
		checkoutServer,
		sent,
		get released() {
			return released;
		},
		get closed() {
			return closed;
		},
		give() {
			given.resolve(createSessionLink(link as unknown as EndpointLink, {address: 'i-1:5432'}));
		},
		setLease(epoch: number) {
			lease = {epoch, primaryId: 'i-1'};
		},
		run: async (epoch?: number) => handlers.get('loan-run')!({
			...REQUEST, single: true, epoch, request: {command: {kind: 'run'}},
		}, REMOTE_HOST) as Promise<PeerCalls['loan-run']['res']>,
		open: async () => handlers.get('loan-open')!(REQUEST, REMOTE_HOST) as Promise<CheckoutResponse>,
		exchange: async (checkoutId: string, turn: number, kind: 'begin' | 'run' | 'commit') =>
			handlers.get('loan-exchange')!({
				loan: checkoutId, turn, request: {command: {kind}}, last: false,
			}, REMOTE_HOST) as Promise<PeerCalls['loan-exchange']['res']>,
		answer(answer: EndpointAnswer) {
			const answering = waiting!;
			waiting = undefined;
			answering.resolve(answer);
		},
	};
}

/** Checks out the connection and begins a transaction on it; resolves with the id of the checkout. */
async function openTransaction(bench: ReturnType<typeof createBench>) {
	bench.give();
	const {loan: checkoutId} = await bench.open() as {readonly loan: string};
	const answered = bench.exchange(checkoutId, 1, 'begin');
	bench.answer(ANSWERED);
	await answered;
	return checkoutId;
}

describe('a checkout server', () => {
	/**
	 * A pool host is ordered to stop while a remote host waits there for a connection, which is released just after. If it were checked out, a transaction would begin on a host
	 * that is about to end; refused, the transaction begins at the next pool host at once.
	 */
	it('refuses a checkout that was waiting when the host is ordered to stop', async () => {
		const bench = createBench();
		const response = bench.open();
		bench.checkoutServer.retire();
		bench.give();
		expect([await response, bench.checkoutServer.checkouts, bench.released]).to.deep.equal([{refused: 'stopping'}, 0, 1]);
	});

	/**
	 * A pool host is about to end while a remote host's caller idles in a transaction on its connection. The commit comes later: sent on, it would be interrupted by the
	 * end of the process, and its outcome would be unknown.
	 */
	it('revokes an idle checkout with its transaction, and answers a later commit as not sent', async () => {
		const bench = createBench();
		const checkoutId = await openTransaction(bench);
		bench.checkoutServer.revokeIdle('the host is stopping');
		expect([bench.checkoutServer.checkouts, bench.closed, bench.released]).to.deep.equal([0, true, 1]);
		expect([await bench.exchange(checkoutId, 2, 'commit'), bench.sent]).to.deep.equal([{over: true}, ['begin']]);
	});

	/** The same with a commit in flight at that moment: if it were cut, its outcome would be unknown. It is answered, and the checkout ends with the answer. */
	it('answers a commit that is in flight before the checkout ends', async () => {
		const bench = createBench();
		const checkoutId = await openTransaction(bench);
		const answered = bench.exchange(checkoutId, 2, 'commit');
		bench.checkoutServer.revokeIdle('the host is stopping');
		expect([bench.checkoutServer.checkouts, bench.closed]).to.deep.equal([1, false]);
		bench.answer({...ANSWERED, state: SessionState.Idle});
		expect([await answered, bench.checkoutServer.checkouts, bench.closed]).to.deep.equal([{answer: {...ANSWERED, state: SessionState.Idle}}, 0, false]);
	});

	/** The same with another statement in flight: its answer is passed on, and the transaction, which is still open, is rolled back. */
	it('rolls back a transaction after the answer to the statement that was in flight', async () => {
		const bench = createBench();
		const checkoutId = await openTransaction(bench);
		const answered = bench.exchange(checkoutId, 2, 'run');
		bench.checkoutServer.revokeIdle('the host is stopping');
		bench.answer(ANSWERED);
		expect([await answered, bench.checkoutServer.checkouts, bench.closed]).to.deep.equal([{answer: ANSWERED}, 0, true]);
		expect([await bench.exchange(checkoutId, 3, 'commit'), bench.sent]).to.deep.equal([{over: true}, ['begin', 'run']]);
	});

	it('runs a read that is sent with its checkout request, and releases the connection with the answer', async () => {
		const bench = createBench();
		bench.give();
		const run = bench.run();
		await Promise.resolve();
		await new Promise(setImmediate);
		bench.answer({...ANSWERED, state: SessionState.Idle});
		expect(await run).to.have.nested.property('answer.end.kind', 'complete');
		expect([bench.checkoutServer.checkouts, bench.released, bench.closed]).to.deep.equal([0, 1, false]);
	});

	/**
	 * A read waits at the pool host for a connection to the primary while the primary is replaced. The remote host's lease was held when the read was sent but has expired when it
	 * would run, so the read would miss what the new primary has acknowledged.
	 */
	it('does not run a read at a primary without the primary lease of that epoch', async () => {
		const bench = createBench();
		bench.setLease(5);
		bench.give();
		expect(await bench.run(4)).to.deep.equal({refused: 'unproven'});
		expect([bench.sent, bench.checkoutServer.checkouts, bench.released]).to.deep.equal([[], 0, 1]);
	});
});
