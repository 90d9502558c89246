import type {Clock} from './clock.js';

/**
 * Timer for one deadline that is set many times a second and rarely passes.
 *
 * A sleep with an abort signal for each deadline would cost more than the work that it bounds. So the timer sleeps until
 * the first deadline that it was given, and only then checks whether a later one has replaced it.
 */
export type DeadlineTimer = {
	/** Sets the deadline, on the clock's `now`; replaces the previous one. */
	set(at: number): void;
	/** Removes the deadline. */
	clear(): void;
	/** Removes the deadline and ends the sleep, so that nothing is left pending. */
	stop(): void;
};

/** Creates a timer without a deadline; `onPassed` is called once for each deadline that passes. */
export function createDeadlineTimer(clock: Clock, onPassed: () => void): DeadlineTimer {
	let deadlineAt = Infinity;
	let wakesAt = Infinity;
	let sleep: AbortController | undefined;

	const isSet = () => deadlineAt !== Infinity;

	const clear = () => {
		deadlineAt = Infinity;
	};

	const run = async () => {
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
				void run();
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
