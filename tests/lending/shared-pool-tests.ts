import {expect} from 'chai';
import {createSharedPool, type SharedPoolOptions} from '../../src/lending/shared-pool.js';
import {createUnreachableHosts} from '../../src/membership/unreachable-hosts.js';
import {throwPeerSilent} from '../../src/peers/peer-errors.js';
import {createVirtualClock} from '../../src/stand-ins/time/virtual-clock.js';

const LENDER = 'lender:7000';

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
});
