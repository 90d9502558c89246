import {expect} from 'chai';
import {createConnectionPool, type ConnectionPool} from '../../src/endpoints/connection-pool.js';
import {EndpointError} from '../../src/endpoints/endpoint-errors.js';
import type {EndpointConnection} from '../../src/endpoints/endpoint.js';
import {createSeededRandom} from '../../src/random/seeded-random.js';
import {createVirtualClock, type VirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

type FakeConnection = EndpointConnection & {readonly id: number; silent: boolean};

function createFakePool(limit: number, clock: VirtualClock) {
	let opened = 0;
	const fake = {refusing: false, connections: [] as FakeConnection[]};
	const pool = createConnectionPool({
		limit,
		clock,
		random: createSeededRandom(1),
		endpoint: {
			address: '10.1.0.1:5432',
			async connect() {
				await clock.sleep(10);
				if (fake.refusing) {
					throw new EndpointError('refused');
				}

				const connection = createFakeConnection(++opened, clock);
				fake.connections.push(connection);
				return connection;
			},
		},
	});
	return {pool, fake};
}

function createFakeConnection(id: number, clock: VirtualClock): FakeConnection {
	const state = {usable: true};
	const connection = {
		id,
		silent: false,
		get usable() {
			return state.usable;
		},
		async status(timeoutMs: number) {
			if (connection.silent) {
				await clock.sleep(timeoutMs);
				throw new EndpointError('silent', {props: {sent: true}});
			}

			return {
				term: 1, log: {term: 1, position: 1}, role: 'replica', leaving: false,
			};
		},
		destroy() {
			state.usable = false;
		},
		async close() {
			state.usable = false;
		},
	};
	return connection as unknown as FakeConnection;
}

describe('connection pool', () => {
	const acquire = async (pool: ConnectionPool, clock: VirtualClock, ms = 1000) =>
		clock.runUntil(pool.acquire(clock.now() + ms)) as Promise<FakeConnection>;

	it('reuses a connection and opens no more than its limit', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(2, clock);
		const first = await acquire(pool, clock);
		await acquire(pool, clock);
		const third = pool.acquire(clock.now() + 1000);
		await clock.advance(100);
		expect(pool.getLoad()).to.deep.equal({
			idle: 0, lent: 2, waiting: 1, limit: 2,
		});
		pool.release(first);
		expect((await clock.runUntil(third) as FakeConnection).id).to.equal(1);
		expect(fake.connections.length).to.equal(2);
	});

	it('rejects by the deadline where every connection is acquired', async () => {
		const clock = createVirtualClock();
		const {pool} = createFakePool(1, clock);
		await acquire(pool, clock);
		const refused = await acquire(pool, clock, 50).catch((err: unknown) => err as Error);
		expect(refused).to.be.instanceOf(EndpointError);
		expect(refused).to.have.property('sent', false);
	});

	// A network device between proxy and server drops its state of connections that were idle overnight. No side is
	// notified, and each request on one would wait until its deadline. A check before use detects it.
	it('detects a connection that went silent while idle, within a quarter of a second', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(2, clock);
		const first = await acquire(pool, clock);
		pool.release(first);
		fake.connections[0]!.silent = true;
		await clock.advance(60_000);
		const startedAt = clock.now();
		const second = await acquire(pool, clock);
		expect(second.id).to.equal(2);
		expect(clock.now() - startedAt).to.be.at.most(300);
		expect(first.usable).to.equal(false);
	});

	// Three requests wait for the only connection of a server that fails. The first one is rejected; the others must be too, and not
	// wait until their deadlines: there is no connection left whose release would wake them.
	it('rejects all waiters when a server stops accepting connections', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(1, clock);
		const acquired = await acquire(pool, clock);
		const waiting = [1, 2, 3].map(async () => pool.acquire(clock.now() + 60_000).catch(() => clock.now()));
		await clock.advance(100);
		const diedAt = clock.now();
		fake.refusing = true;
		acquired.destroy();
		pool.release(acquired);
		const rejected = await clock.runUntil(Promise.all(waiting));
		expect(rejected.map(at => Number(at) - diedAt)).to.deep.equal([10, 10, 10]);
	});

	// The first request has a deadline in 3 ms, and a connection takes 10 ms to open. The next request, with enough time,
	// must not be rejected as if the server had refused, and gets the connection that was being opened.
	it('keeps opening a connection for the next caller when the first one reaches its deadline', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(1, clock);
		const expired = await acquire(pool, clock, 3).catch((err: unknown) => err as Error);
		expect(expired).to.be.instanceOf(EndpointError);
		const next = await acquire(pool, clock);
		expect(next.id).to.equal(1);
		expect(fake.connections.length).to.equal(1);
	});

	// As before, but the server refuses. The request that waits for capacity must be rejected when the opening fails, not at its deadline.
	it('rejects a waiter when the connection that a caller with a short deadline began to open is refused', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(1, clock);
		fake.refusing = true;
		const startedAt = clock.now();
		const expired = pool.acquire(startedAt + 3).catch(() => clock.now() - startedAt);
		const waiting = pool.acquire(startedAt + 60_000).catch(() => clock.now() - startedAt);
		expect(await clock.runUntil(Promise.all([expired, waiting]))).to.deep.equal([3, 10]);
	});

	it('backs off after a server refused a connection', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(2, clock);
		fake.refusing = true;
		await acquire(pool, clock).catch(() => undefined);
		const startedAt = clock.now();
		const refused = await acquire(pool, clock).catch((err: unknown) => err as Error);
		expect(refused).to.be.instanceOf(EndpointError);
		expect(clock.now()).to.equal(startedAt);
		fake.refusing = false;
		await clock.advance(1000);
		const reopened = await acquire(pool, clock);
		expect(reopened.usable).to.equal(true);
	});
});
