import type {Clock} from '../time/clock.js';

/** Wakes an admission at the moment when the first waiting request can no longer be served in time. */
export type HopelessWatch = {
	/** Notes that a request waits which becomes hopeless at that time. */
	expect(at: number): void;
	/** Looks again at once; the watch ends where nothing waits any more. */
	wake(): void;
};

/** What a watch is made of. */
export type HopelessWatchOptions = {
	readonly clock: Clock;
	/** When the first waiting request becomes hopeless; undefined where none waits. */
	getFirstAt(): number | undefined;
	/** Called at that time. */
	onDue(now: number): void;
};

/** Shortest sleep, in milliseconds, so that a time which is due but not yet passed makes no busy loop. */
const SHORTEST_SLEEP_MS = 1;

/** Creates a watch that sleeps while nothing waits. */
export function createHopelessWatch({clock, getFirstAt, onDue}: HopelessWatchOptions): HopelessWatch {
	/** When the watch wakes by itself; undefined while it does not run. */
	let wakeAt: number | undefined;
	let sleep = new AbortController();

	const run = async () => {
		wakeAt = getFirstAt();
		while (wakeAt !== undefined) {
			sleep = new AbortController();
			await clock.sleep(Math.max(SHORTEST_SLEEP_MS, Math.ceil(wakeAt - clock.now())), sleep.signal);
			onDue(clock.now());
			wakeAt = getFirstAt();
		}
	};

	return {
		expect(at) {
			if (wakeAt === undefined) {
				void run();
			} else if (at < wakeAt) {
				sleep.abort();
			}
		},
		wake() {
			sleep.abort();
		},
	};
}
