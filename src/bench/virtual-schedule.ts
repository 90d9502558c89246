import {setImmediate} from 'node:timers/promises';
import {createTimedHeap, type Timed} from '../stand-ins/time/timed-heap.js';
import type {Clock} from '../time/clock.js';

/** A clock that jumps from event to event, for experiments with millions of them. */
export type VirtualSchedule = Clock & {
	/** Calls back at that time. */
	at(time: number, callback: () => void): void;
	/** Runs all events until that time, letting what follows from each settle. */
	runUntil(time: number): Promise<void>;
};

type Event = Timed & {
	callback(): void;
};

/** Creates a schedule that begins at time 0. */
export function createVirtualSchedule(): VirtualSchedule {
	const heap = createTimedHeap<Event>();
	let now = 0;
	let order = 0;

	const at = (time: number, callback: () => void) => {
		heap.add({at: Math.max(time, now), order: order++, callback});
	};

	return {
		now: () => now,
		wall: () => now,
		at,
		async sleep(ms, signal) {
			if (signal?.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				const end = () => {
					// A signal outlives many sleeps; each listener left on it would be kept for as long.
					signal?.removeEventListener('abort', end);
					resolve();
				};

				at(now + ms, end);
				signal?.addEventListener('abort', end);
			});
		},
		async runUntil(time) {
			while (heap.first && heap.first.at <= time) {
				const event = heap.takeFirst()!;
				now = event.at;
				event.callback();
				await setImmediate();
			}

			now = time;
		},
	};
}
