import type {Clock} from '../time/clock.js';

/** Notifies listeners and waiters that a group's primary or term may have changed. */
export type GroupChanges = {
	notify(): void;
	on(listener: () => void): () => void;
	waitFor(deadlineAt: number): Promise<void>;
};

/** Maximum time before a waiter checks again, in milliseconds, in case a change was not notified. */
const MAX_WAIT_MS = 250;

/** Creates the notifier of one group. */
export function createGroupChanges(clock: Clock): GroupChanges {
	const listeners = new Set<() => void>();

	const on = (listener: () => void) => {
		listeners.add(listener);
		return () => {
			listeners.delete(listener);
		};
	};

	return {
		notify() {
			for (const listener of listeners) {
				listener();
			}
		},
		on,
		async waitFor(deadlineAt) {
			const abort = new AbortController();
			const off = on(() => {
				abort.abort();
			});
			await clock.sleep(Math.min(MAX_WAIT_MS, deadlineAt - clock.now()), abort.signal);
			off();
		},
	};
}
