import {setImmediate} from 'node:timers/promises';
import type {Clock} from '../../time/clock.js';
import {createTimedHeap, type Timed} from './timed-heap.js';

/** A clock that moves only when told to, so that a failure's order of events repeats exactly. */
export type VirtualClock = Clock & {
	/** Moves the time forward by `ms`, waking each sleeper at its own moment and letting all that follows settle. */
	advance(ms: number): Promise<void>;
	/** Moves the time forward until the promise settles, at most by `limitMs`. */
	runUntil<T>(promise: Promise<T>, limitMs?: number): Promise<T>;
	/** Moves the calendar alone, as an administrator might. */
	jumpWall(ms: number): void;
};

type Sleeper = Timed & {
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
	const sleepers = createTimedHeap<Sleeper>();

	const settle = async () => {
		for (let round = 0; round < settleRounds; round++) {
			await setImmediate();
		}
	};

	/** The earliest that sleeps no longer than `until`; those that ended are dropped when they come first. */
	const takeNext = (until: number) => {
		while (sleepers.first?.ended) {
			sleepers.takeFirst();
		}

		return sleepers.first && sleepers.first.at <= until ? sleepers.takeFirst() : undefined;
	};

	const wakeNext = async (until: number) => {
		const next = takeNext(until);
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
