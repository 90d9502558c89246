import {setImmediate} from 'node:timers/promises';
import {createTimedHeap, type Timed} from '../stand-ins/time/timed-heap.js';
import type {Clock} from '../time/clock.js';

/** A discrete-event clock for experiments with millions of events: its time advances from event to event. */
export type VirtualSchedule = Clock & {
	/** Schedules `callback` at a time in milliseconds, or for now if that time has passed. */
	at(time: number, callback: () => void): void;
	/** Runs all events up to `time`, and one turn of the event loop after each, so that the promises it resolved have their effect first. */
	runUntil(time: number): Promise<void>;
};

type Event = Timed & {
	callback(): void;
};

/** Creates a schedule that starts at time 0. */
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
					// A signal outlives many sleeps, so listeners left on it would accumulate.
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
