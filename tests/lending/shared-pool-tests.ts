import {expect} from 'chai';
import {createSharedPool, type SharedPoolOptions} from '../../src/lending/shared-pool.js';
import type {LoanAnswer} from '../../src/lending/lending-calls.js';
import type {AcquireRequest} from '../../src/links/endpoint-pool.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const LENDER = 'lender:7000';

/** Longest wait for a connection that some lender has, in milliseconds: one at the endpoint itself, and the ways. */
const LONGEST_MS = 150;

describe('a pool that borrows', () => {
	/**
	 * An endpoint is dark, and its lender, which is well, is asked for its status. Were it to wait for the endpoint as long as the borrower waits for it, it would itself
	 * pass for dead, and nothing would be borrowed from it for any endpoint.
	 */
	it('does not take a lender for dead that answers for a silent endpoint', async () => {
		const clock = createVirtualClock(0);
		const unreachable = createUnreachableHosts();
		const pool = createSharedPool({
			entry: {id: 'i-1', group: 'nights'},
			ownPool: {ask: async () => ({role: 'replica'})},
			lenders: {availabilityZone: 'hall-a', keepsOwn: () => false, getKeepers: () => [{peerAddress: LENDER, availabilityZone: 'hall-a'}]},
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
		await clock.runUntil(pool.ask({kind: 'status'}, 500));
		expect(unreachable.has(LENDER, clock.now())).to.equal(false);
	});

	/**
	 * Two of an endpoint's three lenders are told to stop, as in a restart of many hosts. A borrower whose turn asks just these two would wait at the endpoint itself,
	 * which has no connection left, until its caller's time is up, while the third lender has one to lend.
	 */
	it('asks the lender that is left where those that it asked first are stopping', async () => {
		const clock = createVirtualClock(0);
		const granted = new Map<string, LoanAnswer>([[LENDER, {refused: 'stopping'}], ['far-1:7000', {refused: 'stopping'}], ['far-2:7000', {loan: 'l-1'}]]);
		const pool = createSharedPool({
			entry: {id: 'i-1', group: 'nights'},
			ownPool: {
				async acquire({until}: AcquireRequest) {
					await clock.sleep(until - clock.now());
				},
			},
			lenders: {
				availabilityZone: 'hall-a',
				keepsOwn: () => false,
				getKeepers: () => [...granted.keys()].map((peerAddress, i) => ({peerAddress, availabilityZone: i === 0 ? 'hall-a' : 'hall-b'})),
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

		expect(waits.map(ms => ms !== undefined && ms <= LONGEST_MS), waits.join(' ')).to.deep.equal([true, true, true, true]);
	});
});
