import type {SleepSignal} from './sleep-alarm.js';

/** Where the present time comes from. Deciding functions never hold a clock: they take `now`. */
export type Clock = {
	/** Milliseconds since the epoch at process start plus the monotonic time since; never steps back. */
	now(): number;
	/** Milliseconds since the epoch as the host's calendar has them; may jump. For records and request ids only. */
	wall(): number;
	/** Resolves after `ms` milliseconds, or at once when the signal aborts; never rejects. */
	sleep(ms: number, signal?: SleepSignal): Promise<void>;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		clock: Clock;
	}
}
