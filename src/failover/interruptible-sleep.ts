import type {Clock} from '../time/clock.js';

/** A pause of one task that can be ended early. */
export type InterruptibleSleep = {
	/** Waits `ms` milliseconds or until woken; resolves at once where it was woken since the last wait. */
	sleep(ms: number): Promise<void>;
	wake(): void;
};

/** Creates an interruptible sleep. */
export function createInterruptibleSleep(clock: Clock): InterruptibleSleep {
	let interruption = new AbortController();

	return {
		async sleep(ms) {
			await clock.sleep(ms, interruption.signal);
			interruption = new AbortController();
		},
		wake() {
			interruption.abort();
		},
	};
}
