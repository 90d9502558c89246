import type {NeededSession} from '../links/link-session.js';
import type {CheckoutExchange} from './checkout-calls.js';

/** The session values and prepared statement that the next request on a checked-out connection needs; they are sent once, with that request. */
export type PendingSession = {
	set(needed: NeededSession): void;
	take(): CheckoutExchange['needed'];
};

/** Creates the pending session of a connection for which nothing is needed yet. */
export function createPendingSession(): PendingSession {
	let needed: NeededSession | undefined;

	return {
		set(wanted) {
			needed = wanted;
		},
		take() {
			const taken = needed;
			needed = undefined;
			return taken && {values: [...taken.values], ...(taken.prepared && {prepared: taken.prepared})};
		},
	};
}
