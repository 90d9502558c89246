import type {Clock} from './clock.js';
import {createSleepAlarm} from './sleep-alarm.js';

/** How a bounded wait ended. */
export type Bounded<T> = {timedOut: false; value: T} | {timedOut: true};

/**
 * Waits for a promise no longer than `ms` milliseconds.
 *
 * The promise is not cancelled: a late rejection is swallowed, since whoever waited has its answer already.
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
