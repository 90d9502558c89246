import {setImmediate} from 'node:timers/promises';
import type {Clock} from '../../time/clock.js';

/** A clock that moves only when told to, so that a failure's order of events repeats exactly. */
export type VirtualClock = Clock & {
	/** Moves the time forward by `ms`, waking each sleeper at its own moment and letting all that follows settle. */
	advance(ms: number): Promise<void>;
	/** Moves the time forward until the promise settles, at most by `limitMs`. */
	runUntil<T>(promise: Promise<T>, limitMs?: number): Promise<T>;
	/** Moves the calendar alone, as an administrator might. */
	jumpWall(ms: number): void;
};

type Sleeper = {
	readonly at: number;
	readonly order: number;
	/** Woken already, perhaps by its signal. */
	ended: boolean;
	wake(): void;
};

/** Default start: 2026-01-05T06:00:00Z. */
const START_MS = 1_767_592_800_000;

/** More wakes than this at one moment mean a loop that sleeps for no time and would never end. */
const MOST_WAKES_AT_ONCE = 100_000;

/** Rounds of the event loop in which work set off by one moment settles, where it may pass through streams of the runtime. */
const SETTLE_ROUNDS = 3;

/** Settings of a virtual clock. */
export type VirtualClockOptions = {
	/** Rounds of the event loop after each moment; fewer suffice where nothing but the project's own code runs. */
	readonly settleRounds?: number;
};

/** Creates a virtual clock that begins at `startMs`, milliseconds since the epoch. */
export function createVirtualClock(startMs = START_MS, {settleRounds = SETTLE_ROUNDS}: VirtualClockOptions = {}): VirtualClock {
	let now = startMs;
	let wallOffset = 0;
	let order = 0;
	let wakesAtOnce = 0;
	const sleepers = createSleepers();

	const settle = async () => {
		for (let round = 0; round < settleRounds; round++) {
			await setImmediate();
		}
	};

	const wakeNext = async (until: number) => {
		const next = sleepers.takeNext(until);
		if (!next) {
			return false;
		}

		wakesAtOnce = next.at > now ? 0 : wakesAtOnce + 1;
		if (wakesAtOnce > MOST_WAKES_AT_ONCE) {
			throw new Error('a task sleeps for no time over and over, so the virtual time cannot move');
		}

		now = Math.max(now, next.at);
		next.wake();
		await settle();
		return true;
	};

	return {
		now: () => now,
		wall: () => now + wallOffset,
		jumpWall(ms) {
			wallOffset += ms;
		},
		async sleep(ms, signal) {
			if (signal?.aborted) {
				return;
			}

			await new Promise<void>(resolve => {
				const wake = () => {
					sleeper.ended = true;
					signal?.removeEventListener('abort', wake);
					resolve();
				};

				const sleeper: Sleeper = {
					at: now + Math.max(0, ms), order: order++, ended: false, wake,
				};
				sleepers.add(sleeper);
				signal?.addEventListener('abort', wake, {once: true});
			});
		},
		async advance(ms) {
			const until = now + ms;
			await settle();
			while (await wakeNext(until)) {
				// Each sleeper woken may add others before `until`.
			}

			now = until;
		},
		async runUntil(promise, limitMs = 600_000) {
			const until = now + limitMs;
			const progress = {settled: false};
			const mark = () => {
				progress.settled = true;
			};

			promise.then(mark, mark);
			await settle();
			while (!progress.settled && await wakeNext(until)) {
				// Woken until the promise settles.
			}

			if (!progress.settled) {
				throw new Error(`nothing settled within ${limitMs} ms of virtual time`);
			}

			return promise;
		},
	};
}

/** Sleepers in a binary heap, the earliest first; those that ended are dropped when they come to the top. */
type Sleepers = {
	add(sleeper: Sleeper): void;
	/** Takes out the earliest that has not ended, if it sleeps no longer than `until`. */
	takeNext(until: number): Sleeper | undefined;
};

function isEarlier(left: Sleeper, right: Sleeper): boolean {
	return left.at < right.at || (left.at === right.at && left.order < right.order);
}

function createSleepers(): Sleepers {
	const heap: Sleeper[] = [];

	const takeTop = () => {
		const top = heap[0]!;
		const last = heap.pop()!;
		if (heap.length === 0) {
			return top;
		}

		let at = 0;
		for (let child = 1; child < heap.length; child = (2 * at) + 1) {
			if (child + 1 < heap.length && isEarlier(heap[child + 1]!, heap[child]!)) {
				child++;
			}

			if (!isEarlier(heap[child]!, last)) {
				break;
			}

			heap[at] = heap[child]!;
			at = child;
		}

		heap[at] = last;
		return top;
	};

	return {
		add(sleeper) {
			let at = heap.length;
			while (at > 0) {
				const parent = (at - 1) >> 1;
				if (!isEarlier(sleeper, heap[parent]!)) {
					break;
				}

				heap[at] = heap[parent]!;
				at = parent;
			}

			heap[at] = sleeper;
		},
		takeNext(until) {
			while (heap[0]?.ended) {
				takeTop();
			}

			return heap[0] && heap[0].at <= until ? takeTop() : undefined;
		},
	};
}
