import type {Clock} from '../time/clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';

/**
 * One timer for all waiting requests. It fires at the earliest time at which something changes without an event: a request
 * passes its latest start time, the last moment at which it could start and still meet its deadline, or a check is due.
 */
export type LatestStartTimer = {
	/** Starts the timer, or brings it forward, for a time that was just added. */
	schedule(at: number): void;
	/** Fires at once if the timer runs; it then stops where no request waits any more. */
	fireNow(): void;
};

/** Options of {@link createLatestStartTimer}. */
export type LatestStartTimerOptions = {
	readonly clock: Clock;
	/** Returns the earliest time at which something changes; undefined where no request waits. */
	getNextAt(): number | undefined;
	/** Called when the timer fires. */
	onDue(now: number): void;
};

/** Minimum sleep, in milliseconds, so that a time which is due but not yet passed makes no busy loop. */
const MIN_SLEEP_MS = 1;

/** Creates a timer that is stopped while no request waits. */
export function createLatestStartTimer({clock, getNextAt, onDue}: LatestStartTimerOptions): LatestStartTimer {
	/** Time at which the timer fires; undefined while it is stopped. */
	let wakeAt: number | undefined;
	let sleep = createSleepAlarm();
	/** Whether the sleep was ended only to sleep for a shorter time. */
	let isBroughtForward = false;

	const run = async () => {
		wakeAt = getNextAt();
		while (wakeAt !== undefined) {
			sleep = createSleepAlarm();
			isBroughtForward = false;
			await clock.sleep(Math.max(MIN_SLEEP_MS, Math.ceil(wakeAt - clock.now())), sleep);
			if (!isBroughtForward) {
				onDue(clock.now());
			}

			wakeAt = getNextAt();
		}
	};

	return {
		schedule(at) {
			if (wakeAt === undefined) {
				void run();
			} else if (at < wakeAt) {
				wakeAt = at;
				isBroughtForward = true;
				sleep.abort();
			}
		},
		fireNow() {
			isBroughtForward = false;
			sleep.abort();
		},
	};
}
