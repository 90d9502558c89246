import {expect} from 'chai';
import {createSharedPool, type SharedPoolOptions} from '../../src/connection-sharing/shared-pool.js';
import type {CheckoutResponse} from '../../src/connection-sharing/checkout-calls.js';
import type {AcquireRequest} from '../../src/links/endpoint-pool.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const POOL_HOST = 'pool:7000';

/** Maximum wait for a connection that some pool host has, in milliseconds: one wait at the endpoint itself, and the round trips. */
const MAX_WAIT_MS = 150;

describe('a shared pool', () => {
	/**
	 * An endpoint is unreachable, and a healthy pool host is asked for its status. If the pool host waited for the endpoint as long as the remote host waits for the pool host, it would
	 * itself be taken for failed, and no connection would be checked out from it for any endpoint.
	 */
	it('does not take a pool host for failed that answers for a silent endpoint', async () => {
		const clock = createVirtualClock(0);
		const unreachable = createUnreachableHosts();
		const pool = createSharedPool({
			entry: {id: 'i-1', group: 'nights'},
			ownPool: {sendCommand: async () => ({role: 'replica'})},
			poolHosts: {availabilityZone: 'hall-a', isPoolHost: () => false, getHosts: () => [{peerAddress: POOL_HOST, availabilityZone: 'hall-a'}]},
			unreachable,
			peers: {
				async call(address: string, kind: string, req: {readonly timeoutMs: number}, timeoutMs: number) {
					await clock.sleep(Math.min(req.timeoutMs + 2, timeoutMs));
					return req.timeoutMs + 2 < timeoutMs ? {} : throwPeerSilent(address, kind);
				},
			},
			clock,
			ownPeerAddress: 'own:7000',
		} as unknown as SharedPoolOptions);
		await clock.runUntil(pool.sendCommand({kind: 'status'}, 500));
		expect(unreachable.has(POOL_HOST, clock.now())).to.equal(false);
	});

	/**
	 * Two of an endpoint's three pool hosts are ordered to stop, as in a restart of many hosts. A request that asks only these two would wait at the endpoint itself,
	 * which has no connection left, until its deadline, while the third pool host has a free one.
	 */
	it('asks the pool host that is left where those that it asked first are stopping', async () => {
		const clock = createVirtualClock(0);
		const granted = new Map<string, CheckoutResponse>([[POOL_HOST, {refused: 'stopping'}], ['far-1:7000', {refused: 'stopping'}], ['far-2:7000', {loan: 'l-1'}]]);
		const pool = createSharedPool({
			entry: {id: 'i-1', group: 'nights'},
			ownPool: {
				async acquire({until}: AcquireRequest) {
					await clock.sleep(until - clock.now());
				},
			},
			poolHosts: {
				availabilityZone: 'hall-a',
				isPoolHost: () => false,
				getHosts: () => [...granted.keys()].map((peerAddress, i) => ({peerAddress, availabilityZone: i === 0 ? 'hall-a' : 'hall-b'})),
			},
			unreachable: createUnreachableHosts(),
			peers: {
				async call(address: string) {
					await clock.sleep(2);
					return granted.get(address);
				},
			},
			clock,
			ownPeerAddress: 'own:7000',
		} as unknown as SharedPoolOptions);
		const waits = [];
		for (let turn = 0; turn < 4; turn++) {
			const startedAt = clock.now();
			const sessionLink = await clock.runUntil(pool.acquire({
				priority: 1, until: startedAt + 1000, values: new Map(), single: false,
			}));
			waits.push(sessionLink ? clock.now() - startedAt : undefined);
			await clock.advance(1000);
		}

		expect(waits.map(ms => ms !== undefined && ms <= MAX_WAIT_MS), waits.join(' ')).to.deep.equal([true, true, true, true]);
	});
});
