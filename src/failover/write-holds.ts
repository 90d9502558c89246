import type {Clock} from '../time/clock.js';
import type {GroupFailoverContext} from './group-failover.js';

/** Holds back the writes of one group on this host while its primary is changed as planned. */
export type WriteHolds = {
	/** Holds writes for `ms` at most; tells whether all in flight had ended in that time. */
	hold(holdId: string, ms: number): Promise<boolean>;
	/** Ends a hold at once. */
	release(holdId: string): void;
};

/** Creates the holds of one group on this host. */
export function createWriteHolds(clock: Clock, context: Pick<GroupFailoverContext, 'holdWrites'>): WriteHolds {
	const holds = new Map<string, AbortController>();

	return {
		async hold(holdId, ms) {
			const ending = new AbortController();
			holds.set(holdId, ending);
			const endsAt = clock.now() + ms;
			const letWritesIn = await context.holdWrites(ms);
			const leftMs = endsAt - clock.now();
			const held = leftMs > 0 && !ending.signal.aborted;

			// Whoever asked for the hold may die before it releases it: the writes are let in again by this host's own clock.
			void clock.sleep(leftMs, ending.signal).then(() => {
				holds.delete(holdId);
				letWritesIn();
			});
			return held;
		},
		release(holdId) {
			holds.get(holdId)?.abort();
		},
	};
}
