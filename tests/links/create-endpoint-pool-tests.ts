import {expect} from 'chai';
import type {EndpointLink} from '../../src/links/endpoint-link.js';
import {createEndpointPool} from '../../src/links/create-endpoint-pool.js';
import type {EndpointPool, AcquireRequest} from '../../src/links/endpoint-pool.js';
import {createLinkRefused} from '../../src/links/link-errors.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** Creates a pool with a share of three connections, which open after 12 ms, to an endpoint that allows `maxConnections` of all hosts. */
function createBench(maxConnections = 5) {
	const clock = createVirtualClock();
	/** Workspaces for which connections were opened, in order. */
	const openedFor: Array<string | undefined> = [];
	const pool = createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: {
			async open({workspace}, _timeoutMs, listener) {
				await clock.sleep(12);
				listener.onReceived();
				openedFor.push(workspace);
				const closeListeners: Array<() => void> = [];
				const close = () => {
					for (const closeListener of closeListeners) {
						closeListener();
					}
				};

				return {
					pending: 0, closed: false, cut: close, close, onClose: (closeListener: () => void) => closeListeners.push(closeListener),
				} as unknown as EndpointLink;
			},
		},
		clock,
		log: createSilentLog(),
		getLimits: () => ({maxConnections, hosts: Math.max(1, Math.floor((maxConnections - 2) / 3)), isPoolHost: true}),
		getMinPosition: () => undefined,
	});
	const makeRequest = (single: boolean, workspace?: string): AcquireRequest => ({
		priority: 1, until: clock.now() + 500, values: new Map(), single, workspace,
	});
	const acquire = async (single: boolean, workspace?: string) => pool.acquire(makeRequest(single, workspace));
	/** Runs a statement of the given duration for a workspace; resolves with the time that it waited for its connection, or undefined where it got none. */
	const run = async (workspace: string, ms: number) => {
		const askedAt = clock.now();
		const sessionLink = await acquire(true, workspace);
		if (!sessionLink) {
			return undefined;
		}

		expect(sessionLink.workspace).to.equal(workspace);
		const waitedMs = clock.now() - askedAt;
		await clock.sleep(ms);
		pool.release(sessionLink);
		return waitedMs;
	};

	return {
		clock, pool, acquire, run, openedFor,
	};
}

async function beginTransactions({clock, acquire}: {readonly clock: ReturnType<typeof createBench>['clock']; acquire(single: boolean): ReturnType<EndpointPool['acquire']>}, count: number) {
	const begun = [];
	for (let i = 0; i < count; i++) {
		begun.push(await clock.runUntil(acquire(false)));
	}

	return begun;
}

describe('connections to one endpoint', () => {
	/** Callers idle in transactions until these hold every connection of a primary. A single statement of some milliseconds then finds none, and is refused at its deadline. */
	it('keep one for single statements where no more may be opened', async () => {
		const bench = createBench();
		const begun = await beginTransactions(bench, 4);
		expect(begun.map(link => link !== undefined)).to.deep.equal([true, true, false, false]);
		const askedAt = bench.clock.now();
		expect(await bench.clock.runUntil(bench.acquire(true))).to.not.equal(undefined);
		expect(bench.clock.now() - askedAt).to.be.lessThan(50);
	});

	it('are assigned to a waiting transaction once another one ends', async () => {
		const bench = createBench();
		const [first] = await beginTransactions(bench, 2);
		const waiting = bench.acquire(false);
		await bench.clock.advance(20);
		bench.pool.release(first!);
		expect(await bench.clock.runUntil(waiting)).to.not.equal(undefined);
	});

	it('are all available to single statements where no transaction is open', async () => {
		const bench = createBench();
		const acquired = [];
		for (let i = 0; i < 3; i++) {
			acquired.push(await bench.clock.runUntil(bench.acquire(true)));
		}

		expect(acquired.every(link => link !== undefined)).to.equal(true);
	});

	it('serve the statements of one workspace only', async () => {
		const bench = createBench();
		for (const workspace of ['north', 'south', 'north', 'south']) {
			await bench.clock.runUntil(bench.run(workspace, 5));
		}

		expect(bench.openedFor).to.deep.equal(['north', 'south']);
	});

	/** There are more workspaces than connections: the connection that has been idle longest is closed, and one in use is not. */
	it('are closed when idle for a workspace that has none', async () => {
		const bench = createBench();
		for (const workspace of ['a', 'b', 'c', 'd', 'b']) {
			await bench.clock.runUntil(bench.run(workspace, 5));
		}

		expect(bench.openedFor).to.deep.equal(['a', 'b', 'c', 'd']);
		expect(bench.pool.open).to.equal(3);
	});

	/** A workspace that sends statements without a pause would reuse every connection for its own statements; one of another workspace would wait until its deadline. */
	it('are opened for another workspace while one keeps all of them busy', async () => {
		const bench = createBench();
		const busy = Array.from({length: 60}, async () => bench.run('busy', 20));
		await bench.clock.advance(100);
		const waitedMs = await bench.clock.runUntil(bench.run('quiet', 20));
		expect(waitedMs).to.be.at.most(100);
		await bench.clock.runUntil(Promise.all(busy));
	});

	it('are not closed for a workspace while the endpoint rejects new ones', async () => {
		const clock = createVirtualClock();
		let closed = 0;
		let full = false;
		const pool = createEndpointPool({
			target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
			opener: {
				async open({address}) {
					if (full) {
						throw createLinkRefused(address, AnswerCode.TooManyConnections);
					}

					return {
						pending: 0, closed: false, cut: () => undefined, close: () => closed++, onClose: () => undefined,
					} as unknown as EndpointLink;
				},
			},
			clock,
			log: createSilentLog(),
			getLimits: () => ({maxConnections: 5, hosts: 1, isPoolHost: true}),
			getMinPosition: () => undefined,
		});
		const acquire = async (workspace: string) => pool.acquire({
			priority: 1, until: clock.now() + 50, values: new Map(), single: true, workspace,
		});
		for (const workspace of ['a', 'b']) {
			const sessionLink = await clock.runUntil(acquire(workspace));
			pool.release(sessionLink!);
		}

		full = true;
		await clock.runUntil(acquire('c'));
		expect(closed).to.equal(0);
	});

	/** Other hosts need the connections beyond this host's share: they would be rejected while this host keeps idle connections that serve none of its waiters. */
	it('are closed for another workspace before the share is exceeded', async () => {
		const bench = createBench(9);
		for (const workspace of ['a', 'b', 'c', 'd']) {
			await bench.clock.runUntil(bench.run(workspace, 5));
		}

		expect(bench.pool.open).to.equal(3);
	});
});
