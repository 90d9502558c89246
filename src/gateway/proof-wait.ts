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

/** Maximum wait, in milliseconds: callers give up on a session that is not open after 2,000. */
const MAX_WAIT_MS = 1000;

/** The same at a host that the store has not confirmed for {@link ISOLATED_AFTER_MS}, in milliseconds: one that was just resumed has its confirmation within that time. */
const ISOLATED_WAIT_MS = 150;

/** Age of the last confirmation by the store above which the next one cannot be expected soon, in milliseconds: several attempts have failed. */
const ISOLATED_AFTER_MS = 5 * CONFIRM_INTERVAL_MS;

/**
 * Creates the wait of a request that arrives now.
 * @param isWanted Whether the caller may still be served here.
 */
export function createProofWait({clock, elapsedClock, mirror}: Pick<GatewayParts, 'clock' | 'elapsedClock' | 'mirror'>, isWanted: () => boolean): ProofWait {
	const arrivedAt = elapsedClock.elapsed();
	const isConfirmedSince = (at: number) => mirror.routingConfirmedAt !== undefined && mirror.routingConfirmedAt >= at;
	const until = clock.now() + (isConfirmedSince(arrivedAt - ISOLATED_AFTER_MS) ? MAX_WAIT_MS : ISOLATED_WAIT_MS);

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
