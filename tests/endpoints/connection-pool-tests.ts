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

	it('lends a connection again and opens no more than its limit', async () => {
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

	it('says by the deadline that every connection is lent', async () => {
		const clock = createVirtualClock();
		const {pool} = createFakePool(1, clock);
		await acquire(pool, clock);
		const refused = await acquire(pool, clock, 50).catch((err: unknown) => err as Error);
		expect(refused).to.be.instanceOf(EndpointError);
		expect(refused).to.have.property('sent', false);
	});

	// Coaches' pulls hang at dawn: a device between proxy and server forgot the connections that idled overnight.
	// Nothing says so, and each request on one would wait until its own deadline. A check before lending finds out.
	it('finds a connection that went silent while idle, within a quarter of a second', async () => {
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

	// Three syncs wait for the one connection of a server that dies. The first learns so; the others must too, and not
	// stand until their deadlines: there is no connection left whose return would wake them.
	it('tells those who wait when a server stops taking connections', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(1, clock);
		const lent = await acquire(pool, clock);
		const waiting = [1, 2, 3].map(async () => pool.acquire(clock.now() + 60_000).catch(() => clock.now()));
		await clock.advance(100);
		const diedAt = clock.now();
		fake.refusing = true;
		lent.destroy();
		pool.release(lent);
		const told = await clock.runUntil(Promise.all(waiting));
		expect(told.map(at => Number(at) - diedAt)).to.deep.equal([10, 10, 10]);
	});

	// A dashboard asks with three milliseconds to go, and a connection takes ten. The coach who asks next, with time to
	// spare, must not be told that the server refused, and gets the connection that was being opened.
	it('opens a connection on for the next caller when the first one is in a hurry', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(1, clock);
		const hurried = await acquire(pool, clock, 3).catch((err: unknown) => err as Error);
		expect(hurried).to.be.instanceOf(EndpointError);
		const next = await acquire(pool, clock);
		expect(next.id).to.equal(1);
		expect(fake.connections.length).to.equal(1);
	});

	// As before, but the server refuses. The one who waits for room must be told when the opening ends, not at its deadline.
	it('tells who waits when what a hurried caller began to open is refused', async () => {
		const clock = createVirtualClock();
		const {pool, fake} = createFakePool(1, clock);
		fake.refusing = true;
		const startedAt = clock.now();
		const hurried = pool.acquire(startedAt + 3).catch(() => clock.now() - startedAt);
		const waiting = pool.acquire(startedAt + 60_000).catch(() => clock.now() - startedAt);
		expect(await clock.runUntil(Promise.all([hurried, waiting]))).to.deep.equal([3, 10]);
	});

	it('leaves a server alone for a moment after it refused', async () => {
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
