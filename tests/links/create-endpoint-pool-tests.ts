import {expect} from 'chai';
import type {EndpointLink} from '../../src/links/endpoint-link.js';
import {createEndpointPool} from '../../src/links/create-endpoint-pool.js';
import type {EndpointPool, LinkWish} from '../../src/links/endpoint-pool.js';
import {createSilentLog} from '../../src/log/silent-log.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

/** A pool of at most three connections, which open after 12 ms. */
function createBench() {
	const clock = createVirtualClock();
	const pool = createEndpointPool({
		target: {address: '10.1.0.9:8080', group: 'nights', endpointId: 'i-1'},
		opener: {
			async open(_target, _timeoutMs, listener) {
				await clock.sleep(12);
				listener.onHeard();
				return {
					pending: 0, closed: false, cut: () => undefined, close: () => undefined, onClose: () => undefined,
				} as unknown as EndpointLink;
			},
		},
		clock,
		log: createSilentLog(),
		getLimits: () => ({maxConnections: 5, hosts: 1, keepsOwn: true}),
		getLeastPosition: () => undefined,
	});
	const wish = (single: boolean): LinkWish => ({
		priority: 1, until: clock.now() + 500, values: new Map(), single,
	});
	const acquire = async (single: boolean) => pool.acquire(wish(single));
	return {clock, pool, acquire};
}

async function beginTransactions({clock, acquire}: {readonly clock: ReturnType<typeof createBench>['clock']; acquire(single: boolean): ReturnType<EndpointPool['acquire']>}, count: number) {
	const begun = [];
	for (let i = 0; i < count; i++) {
		begun.push(await clock.runUntil(acquire(false)));
	}

	return begun;
}

describe('connections to one endpoint', () => {
	/**
	 * Callers begin transactions and rest in them until every connection of a primary is taken. A member's single sync, of some milliseconds, finds none
	 * for as long as they rest, and is refused after all of its time.
	 */
	it('leave one to single statements where no more may be opened', async () => {
		const bench = createBench();
		const begun = await beginTransactions(bench, 4);
		expect(begun.map(link => link !== undefined)).to.deep.equal([true, true, false, false]);
		const askedAt = bench.clock.now();
		expect(await bench.clock.runUntil(bench.acquire(true))).to.not.equal(undefined);
		expect(bench.clock.now() - askedAt).to.be.lessThan(50);
	});

	it('go to a transaction that waits once another one ends', async () => {
		const bench = createBench();
		const [first] = await beginTransactions(bench, 2);
		const waiting = bench.acquire(false);
		await bench.clock.advance(20);
		bench.pool.release(first!);
		expect(await bench.clock.runUntil(waiting)).to.not.equal(undefined);
	});

	it('are all for single statements where no transaction is open', async () => {
		const bench = createBench();
		const lent = [];
		for (let i = 0; i < 3; i++) {
			lent.push(await bench.clock.runUntil(bench.acquire(true)));
		}

		expect(lent.every(link => link !== undefined)).to.equal(true);
	});
});
