/** Signal that ends a sleep early; an `AbortSignal` is one. */
export type SleepSignal = {
	readonly aborted: boolean;
	addEventListener(type: 'abort', listener: () => void, options?: {once?: boolean}): void;
	removeEventListener(type: 'abort', listener: () => void): void;
};

/** Signal together with the method that triggers it; triggers once. */
export type SleepAlarm = SleepSignal & {
	abort(): void;
};

/**
 * Creates a signal for the waits of every request.
 *
 * An `AbortController` would create an `Event` and a `DOMException` for each abort, which costs ten times as much, and a served
 * read makes two waits.
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
