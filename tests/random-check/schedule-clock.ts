import {createTimedHeap, type Timed} from '../../src/stand-ins/time/timed-heap.js';
import type {Clock} from '../../src/time/clock.js';

/** A virtual clock for many thousands of short runs. It keeps sleepers in a heap, and runs one round of the event loop per wake. */
export type ScheduleClock = Clock & {
	/** Advances the time by `ms` milliseconds and wakes each sleeper at its time. */
	advance(ms: number): Promise<void>;
	/** Number of sleepers woken so far. */
	readonly wakes: number;
};

type Sleeper = Timed & {
	asleep: boolean;
	wake(): void;
};

/** 2026-01-05T06:00:00Z. */
const START_MS = 1_767_592_800_000;

/** Creates a clock that only `advance` moves. */
export function createScheduleClock(): ScheduleClock {
	const heap = createTimedHeap<Sleeper>();
	let now = START_MS;
	let order = 0;
	let wakes = 0;

	// All promise reactions that follow from one wake run before the event loop's next round.
	const settle = async () => new Promise<void>(resolve => {
		setImmediate(resolve);
	});

	const takeNext = (until: number) => {
		while (heap.first && (!heap.first.asleep || heap.first.at <= until)) {
			const next = heap.takeFirst()!;
			if (next.asleep) {
				return next;
			}
		}

		return undefined;
	};

	return {
		now: () => now,
		wall: () => now,
		get wakes() {
			return wakes;
		},
		async sleep(ms, signal) {
			if (signal?.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				const sleeper: Sleeper = {
					at: now + Math.max(0, ms),
					order: order++,
					asleep: true,
					wake() {
						sleeper.asleep = false;
						signal?.removeEventListener('abort', sleeper.wake);
						resolve();
					},
				};
				heap.add(sleeper);
				signal?.addEventListener('abort', sleeper.wake, {once: true});
			});
		},
		async advance(ms) {
			const until = now + ms;
			await settle();
			for (let next = takeNext(until); next; next = takeNext(until)) {
				now = Math.max(now, next.at);
				wakes++;
				next.wake();
				await settle();
			}

			now = until;
		},
	};
}
