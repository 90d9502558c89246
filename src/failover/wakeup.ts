import type {Clock} from '../time/clock.js';

/** A pause that can be cut short. */
export type Wakeup = {
	/** Waits `ms`, or until woken; returns at once where it was woken since the last wait. */
	sleep(ms: number): Promise<void>;
	wake(): void;
};

/** Creates a pause of one task. */
export function createWakeup(clock: Clock): Wakeup {
	let ending = new AbortController();

	return {
		async sleep(ms) {
			await clock.sleep(ms, ending.signal);
			ending = new AbortController();
		},
		wake() {
			ending.abort();
		},
	};
}
