import type {Clock} from '../../time/clock.js';
import type {ElapsedClock} from '../../time/elapsed-clock.js';

/** The clocks of one simulated host, which may be suspended: its steady clock stops during a suspension, its elapsed clock does not. */
export type HostClock = Clock & ElapsedClock & {
	/** Stops the steady clock; sleeps do not end before the host is resumed. */
	suspend(): void;
	/** Continues the steady clock from where it stopped. */
	resume(): void;
	/** Resolves immediately while the host runs, otherwise once it is resumed. */
	whenRunning(): Promise<void>;
};

/** Creates the clocks of a host from the clock that all simulated hosts share. */
export function createHostClock(sharedClock: Clock): HostClock {
	let suspendedMs = 0;
	let suspendedAt: number | undefined;
	let resumed = Promise.resolve();
	let endSuspension: (() => void) | undefined;

	const now = () => (suspendedAt ?? sharedClock.now()) - suspendedMs;

	return {
		now,
		wall: () => sharedClock.wall(),
		elapsed: () => sharedClock.now(),
		async sleep(ms, signal) {
			const until = now() + ms;
			await sharedClock.sleep(ms, signal);
			await resumed;
			// Sleeps for the time lost to suspensions as well: timers of a steady clock do not count suspended time.
			while (now() < until && !signal?.aborted) {
				await sharedClock.sleep(until - now(), signal);
				await resumed;
			}
		},
		suspend() {
			if (suspendedAt !== undefined) {
				return;
			}

			suspendedAt = sharedClock.now();
			resumed = new Promise(resolve => {
				endSuspension = resolve;
			});
		},
		resume() {
			if (suspendedAt !== undefined) {
				suspendedMs += sharedClock.now() - suspendedAt;
				suspendedAt = undefined;
				endSuspension?.();
			}
		},
		whenRunning: async () => resumed,
	};
}
