import {setImmediate} from 'node:timers/promises';
import type {Clock} from '../time/clock.js';

/** A clock that jumps from event to event, for experiments with millions of them. */
export type VirtualSchedule = Clock & {
	/** Calls back at that time. */
	at(time: number, callback: () => void): void;
	/** Runs all events until that time, letting what follows from each settle. */
	runUntil(time: number): Promise<void>;
};

type Event = {
	readonly time: number;
	readonly order: number;
	callback(): void;
};

/** Creates a schedule that begins at time 0. */
export function createVirtualSchedule(): VirtualSchedule {
	const heap: Event[] = [];
	let now = 0;
	let order = 0;

	const at = (time: number, callback: () => void) => {
		push(heap, {time: Math.max(time, now), order: order++, callback});
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
			while (heap[0] && heap[0].time <= time) {
				const event = pop(heap)!;
				now = event.time;
				event.callback();
				await setImmediate();
			}

			now = time;
		},
	};
}

function isEarlier(left: Event, right: Event): boolean {
	return left.time < right.time || (left.time === right.time && left.order < right.order);
}

function push(heap: Event[], event: Event): void {
	let place = heap.length;
	heap.push(event);
	while (place > 0) {
		const parent = (place - 1) >>> 1;
		if (!isEarlier(event, heap[parent]!)) {
			break;
		}

		heap[place] = heap[parent]!;
		place = parent;
	}

	heap[place] = event;
}

function pop(heap: Event[]): Event | undefined {
	const first = heap[0];
	const last = heap.pop();
	if (!last || last === first) {
		return first;
	}

	let place = 0;
	while (true) {
		let child = (2 * place) + 1;
		if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) {
			child++;
		}

		if (child >= heap.length || !isEarlier(heap[child]!, last)) {
			break;
		}

		heap[place] = heap[child]!;
		place = child;
	}

	heap[place] = last;
	return first;
}
