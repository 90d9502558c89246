import type {Clock} from '../time/clock.js';
import type {GroupFailoverContext} from './group-failover.js';

/** Holds the writes of one group on this host during a planned change of its primary. */
export type WriteHolds = {
	/** Holds writes for up to `ms` milliseconds; resolves with whether all writes in flight ended in that time. */
	hold(holdId: string, ms: number): Promise<boolean>;
	/** Ends a hold immediately. */
	release(holdId: string): void;
};

/** Creates the holds of one group on this host. */
export function createWriteHolds(clock: Clock, context: Pick<GroupFailoverContext, 'holdWrites'>): WriteHolds {
	const holds = new Map<string, AbortController>();

	return {
		async hold(holdId, ms) {
			const releasing = new AbortController();
			holds.set(holdId, releasing);
			const endsAt = clock.now() + ms;
			const resumeWrites = await context.holdWrites(ms);
			const leftMs = endsAt - clock.now();
			const held = leftMs > 0 && !releasing.signal.aborted;

			// The host that requested the hold may die before it releases it, so this host also ends the hold by its own timer.
			void clock.sleep(leftMs, releasing.signal).then(() => {
				holds.delete(holdId);
				resumeWrites();
			});
			return held;
		},
		release(holdId) {
			holds.get(holdId)?.abort();
		},
	};
}
