import type {ConfirmSuspicionResponse} from '../../failover/failover-calls.js';
import type {GapPolicy} from './loss-run.js';

/** Failover with the product's default settings. */
export const PRODUCT: GapPolicy = {name: 'failover-gap'};

/** Waits up to 30 s for the claim in the platform's store, which is longer than any loss in this experiment. */
export const CLAIM_REQUIRED: GapPolicy = {name: 'claim required', hooks: {settings: {claimMs: 30_000}}};

/** Ignores failed requests as a sign of a loss, so that only polls detect it. */
export const POLLS_ONLY: GapPolicy = {
	name: 'polls alone',
	hooks: {
		wrap: failover => ({
			...failover,
			suspect() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		}),
	},
};

const LOSS_CONFIRMED: ConfirmSuspicionResponse = {seen: []};

/** Requires no reachability report of another host before a promotion. */
export const NO_REACHABILITY_REPORTS: GapPolicy = {
	name: 'no second opinion',
	wrapPeers: peers => ({
		...peers,
		get address() {
			return peers.address;
		},
		// Stands for another host that confirms every loss at once, without sending it the request.
		call: async (address, kind, req, timeoutMs) => kind === 'confirm-suspicion' ? LOSS_CONFIRMED : peers.call(address, kind, req, timeoutMs),
	}),
};
