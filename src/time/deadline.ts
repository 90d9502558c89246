import type {Clock} from './clock.js';
import {createSleepAlarm} from './sleep-alarm.js';

/** Result of a wait with a timeout: the value, or that the time ran out. */
export type Bounded<T> = {timedOut: false; value: T} | {timedOut: true};

/**
 * Waits for a promise for `ms` milliseconds at most; rejects if the promise rejects within that time.
 *
 * The promise is not cancelled: a later rejection is ignored, since the caller already has its result.
 */
export async function withinMs<T>(clock: Clock, ms: number, promise: Promise<T>): Promise<Bounded<T>> {
	const alarm = createSleepAlarm();
	const timer = clock.sleep(ms, alarm).then((): Bounded<T> => ({timedOut: true}));
	const outcome = promise.then((value): Bounded<T> => ({timedOut: false, value}));

	try {
		return await Promise.race([outcome, timer]);
	} finally {
		alarm.abort();
		outcome.catch(() => undefined);
	}
}
