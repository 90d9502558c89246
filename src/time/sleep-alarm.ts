/** What may end a sleep early; an `AbortSignal` is one too. */
export type SleepSignal = {
	readonly aborted: boolean;
	addEventListener(type: 'abort', listener: () => void, options?: {once?: boolean}): void;
	removeEventListener(type: 'abort', listener: () => void): void;
};

/** Ends sleeps early, once. */
export type SleepAlarm = SleepSignal & {
	abort(): void;
};

/**
 * Creates an alarm for the waits that every request makes.
 *
 * An `AbortController` in its place costs an `Event` and a `DOMException` at each end, ten times as much, and a served read makes
 * two waits.
 */
export function createSleepAlarm(): SleepAlarm {
	const listeners = new Set<() => void>();
	let aborted = false;

	return {
		get aborted() {
			return aborted;
		},
		addEventListener(type, listener) {
			listeners.add(listener);
		},
		removeEventListener(type, listener) {
			listeners.delete(listener);
		},
		abort() {
			if (aborted) {
				return;
			}

			aborted = true;
			for (const listener of listeners) {
				listener();
			}
		},
	};
}
