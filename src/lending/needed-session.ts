import type {NeededSession} from '../links/link-session.js';
import type {LoanExchange} from './lending-calls.js';

/** What the next request on a lender's connection needs set and prepared; told once, with that request. */
export type NeededOnce = {
	set(needed: NeededSession): void;
	take(): LoanExchange['needed'];
};

/** Creates it for a connection that needs nothing yet. */
export function createNeededOnce(): NeededOnce {
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
