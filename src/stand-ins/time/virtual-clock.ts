import {setImmediate} from 'node:timers/promises';
import type {Clock} from '../../time/clock.js';
import {createTimedHeap, type Timed} from './timed-heap.js';

/** A clock that advances only on request, so that the order of events of a failure can be reproduced exactly. */
export type VirtualClock = Clock & {
	/** Advances the time by `ms`. Wakes each sleeper at its own time, and lets the work that follows finish before the next. */
	advance(ms: number): Promise<void>;
	/** Advances the time until the promise settles, and settles as it does. Rejects where it has not settled after `limitMs`, 600,000 by default. */
	runUntil<T>(promise: Promise<T>, limitMs?: number): Promise<T>;
	/** Changes the wall clock only, as when an administrator sets the time. */
	jumpWall(ms: number): void;
};

type Sleeper = Timed & {
	/** Whether it was woken, by the clock or by its signal. */
	ended: boolean;
	wake(): void;
};

/** Default start: 2026-01-05T06:00:00Z. */
const START_MS = 1_767_592_800_000;

/** Number of wakes at one moment above which a loop that sleeps for no time is assumed, which would never end. */
const MAX_WAKES_AT_ONCE = 100_000;

/** Rounds of the event loop in which the work that follows a wake finishes, including work that passes through streams of Node. */
const DEFAULT_DRAIN_ROUNDS = 3;

/** Options of a virtual clock. */
export type VirtualClockOptions = {
	/** Rounds of the event loop after each wake, default 3; fewer suffice where only the project's own code runs. */
	readonly drainRounds?: number;
};

/** Creates a virtual clock that begins at `startMs`, milliseconds since the epoch. */
export function createVirtualClock(startMs = START_MS, {drainRounds: rounds = DEFAULT_DRAIN_ROUNDS}: VirtualClockOptions = {}): VirtualClock {
	let now = startMs;
	let wallOffset = 0;
	let order = 0;
	let wakesAtOnce = 0;
	const sleepers = createTimedHeap<Sleeper>();

	const drainEventLoop = async () => {
		for (let round = 0; round < rounds; round++) {
			await setImmediate();
		}
	};

	/** Removes and returns the earliest sleeper that is due by `until`. Sleepers that were woken by a signal are dropped when they become the first. */
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
		if (wakesAtOnce > MAX_WAKES_AT_ONCE) {
			throw new Error('a task sleeps for no time over and over, so the virtual time cannot move');
		}

		now = Math.max(now, next.at);
		next.wake();
		await drainEventLoop();
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
			await drainEventLoop();
			while (await wakeNext(until)) {
				// A sleeper that was woken may add others that are due by `until`.
			}

			now = until;
		},
		async runUntil(promise, limitMs = 600_000) {
			const until = now + limitMs;
			const progress = {settled: false};
			const markSettled = () => {
				progress.settled = true;
			};

			promise.then(markSettled, markSettled);
			await drainEventLoop();
			while (!progress.settled && await wakeNext(until)) {
				// Wakes sleepers until the promise settles.
			}

			if (!progress.settled) {
				throw new Error(`nothing settled within ${limitMs} ms of virtual time`);
			}

			return promise;
		},
	};
}
