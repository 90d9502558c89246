import type {ConfirmSuspicionResponse} from '../../failover/failover-calls.js';
import type {GapPolicy} from './loss-run.js';

/** The failover as it ships. */
export const PRODUCT: GapPolicy = {name: 'failover-gap'};

/** Waits for the claim in the platform's store for half a minute, longer than any loss here lasts. */
export const CLAIM_REQUIRED: GapPolicy = {name: 'claim required', hooks: {settings: {claimMs: 30_000}}};

/** Learns nothing from traffic: polls alone find a loss. */
export const POLLS_ALONE: GapPolicy = {
	name: 'polls alone',
	hooks: {
		wrap: failover => ({
			...failover,
			suspect() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		}),
	},
};

const NOTHING_SEEN: ConfirmSuspicionResponse = {seen: []};

/** Takes its own word for a loss. */
export const NO_SECOND_OPINION: GapPolicy = {
	name: 'no second opinion',
	wrapPeers: peers => ({
		...peers,
		get address() {
			return peers.address;
		},
		// Another host always confirms at once: what is asked is left out of the way.
		call: async (address, kind, req, timeoutMs) => kind === 'confirm-suspicion' ? NOTHING_SEEN : peers.call(address, kind, req, timeoutMs),
	}),
};
