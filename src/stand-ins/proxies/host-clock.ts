import type {Clock} from '../../time/clock.js';
import type {ElapsedClock} from '../../time/elapsed-clock.js';

/** The clocks of one simulated host, which may be suspended: its steady clock stands still then, its elapsed clock does not. */
export type HostClock = Clock & ElapsedClock & {
	/** Stands still from now on. */
	suspend(): void;
	/** Goes on. */
	resume(): void;
	/** Resolves at once while the host runs, else once it goes on. */
	whenRunning(): Promise<void>;
};

/** Creates a host's clocks on the time of the whole system. */
export function createHostClock(world: Clock): HostClock {
	let suspendedMs = 0;
	let suspendedAt: number | undefined;
	let resumed = Promise.resolve();
	let endSuspension: (() => void) | undefined;

	const now = () => (suspendedAt ?? world.now()) - suspendedMs;

	return {
		now,
		wall: () => world.wall(),
		elapsed: () => world.now(),
		async sleep(ms, signal) {
			const until = now() + ms;
			await world.sleep(ms, signal);
			await resumed;
			// What the suspension took is made up for, as by timers of the steady clock.
			while (now() < until && !signal?.aborted) {
				await world.sleep(until - now(), signal);
				await resumed;
			}
		},
		suspend() {
			if (suspendedAt !== undefined) {
				return;
			}

			suspendedAt = world.now();
			resumed = new Promise(resolve => {
				endSuspension = resolve;
			});
		},
		resume() {
			if (suspendedAt !== undefined) {
				suspendedMs += world.now() - suspendedAt;
				suspendedAt = undefined;
				endSuspension?.();
			}
		},
		whenRunning: async () => resumed,
	};
}
