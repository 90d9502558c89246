import type {Clock} from './clock.js';

/**
 * Watches one deadline that is set anew many times a second and rarely passes.
 *
 * A timer with an abort signal for each would cost more than the work that it bounds. So the watch sleeps until the
 * first deadline it was given, and looks only then whether a later one has taken its place.
 */
export type DeadlineWatch = {
	/** Sets the deadline, on the clock's `now`, in place of the one before. */
	set(at: number): void;
	/** Takes the deadline away. */
	clear(): void;
	/** Takes the deadline away and ends the sleep, so that nothing is left pending. */
	stop(): void;
};

/** Creates a watch without a deadline; `onPassed` is called once for each deadline that passes. */
export function createDeadlineWatch(clock: Clock, onPassed: () => void): DeadlineWatch {
	let deadlineAt = Infinity;
	let wakesAt = Infinity;
	let sleep: AbortController | undefined;

	const isSet = () => deadlineAt !== Infinity;

	const clear = () => {
		deadlineAt = Infinity;
	};

	const watch = async () => {
		while (isSet()) {
			sleep = new AbortController();
			wakesAt = deadlineAt;
			await clock.sleep(deadlineAt - clock.now(), sleep.signal);
			if (deadlineAt <= clock.now()) {
				clear();
				onPassed();
			}
		}

		sleep = undefined;
	};

	return {
		set(at) {
			deadlineAt = at;
			if (!sleep) {
				void watch();
			} else if (at < wakesAt) {
				sleep.abort();
			}
		},
		clear,
		stop() {
			clear();
			sleep?.abort();
		},
	};
}
