import type {SleepSignal} from './sleep-alarm.js';

/** Source of the current time. Functions that make decisions never hold a clock: they take `now`. */
export type Clock = {
	/** Returns the milliseconds since the epoch at process start plus the monotonic time since; never steps back. */
	now(): number;
	/** Returns the milliseconds since the epoch by the host's wall clock, which may jump. For records and request ids only. */
	wall(): number;
	/** Resolves after `ms` milliseconds, or at once when the signal aborts; never rejects. */
	sleep(ms: number, signal?: SleepSignal): Promise<void>;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		clock: Clock;
	}
}
