import {CONFIRM_INTERVAL_MS} from '../mirror/store-mirror.js';
import {withinMs} from '../time/deadline.js';
import type {GatewayParts} from './gateway-parts.js';

/** Waits for proof that what a request names is absent from the configuration, or still in it. */
export type ProofWait = {
	/**
	 * Whether the store has confirmed the configuration by a request that was sent after the caller's request arrived. Any earlier confirmation may lack what has been added since, and one
	 * that hosts give each other without the store covers no configuration.
	 */
	isConfirmed(): boolean;
	/** Waits for the next confirmation, which comes without a call, since a call for each unknown name would be charged to each host. Resolves with false where the wait is over. */
	next(): Promise<boolean>;
};

/** Options of {@link createProofWait}. */
export type ProofWaitOptions = {
	/** Whether the caller may still be served here. */
	isWanted(): boolean;
	/** Steady time at which the wait ends at the latest. */
	readonly until?: number;
};

/** Maximum wait, in milliseconds: one interval between confirmations and the time for a read of the store. */
const MAX_WAIT_MS = CONFIRM_INTERVAL_MS + 200;

/** The same at a host that the store has not confirmed for {@link ISOLATED_AFTER_MS}, in milliseconds: one that was just resumed has its confirmation within that time. */
const ISOLATED_WAIT_MS = 150;

/** Age of the last confirmation by the store above which the next one cannot be expected soon, in milliseconds: several attempts have failed. */
const ISOLATED_AFTER_MS = 5 * CONFIRM_INTERVAL_MS;

/** Creates the wait of a request that arrives now. */
export function createProofWait({clock, elapsedClock, mirror}: GatewayParts, {isWanted, until: latestAt = Number.POSITIVE_INFINITY}: ProofWaitOptions): ProofWait {
	const arrivedAt = elapsedClock.elapsed();
	const isConfirmedSince = (at: number) => mirror.routingConfirmedAt !== undefined && mirror.routingConfirmedAt >= at;
	const until = Math.min(latestAt, clock.now() + (isConfirmedSince(arrivedAt - ISOLATED_AFTER_MS) ? MAX_WAIT_MS : ISOLATED_WAIT_MS));

	return {
		isConfirmed: () => isConfirmedSince(arrivedAt),
		async next() {
			const leftMs = until - clock.now();
			if (leftMs <= 0 || !isWanted()) {
				return false;
			}

			await withinMs(clock, leftMs, mirror.nextConfirmation());
			return true;
		},
	};
}
