import {Buffer} from 'node:buffer';
import type {Log} from '../log/log.js';
import {ObjectKind, type Platform} from '../object-store/platform.js';
import {PlatformConflictError} from '../object-store/platform-errors.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {createRecordBatch, type RecordBatch} from './record-batch.js';
import {createRecordSampler} from './record-sampler.js';
import type {RefusalRecord} from './refusal-record.js';

/**
 * Writes records to the platform in batches, within a stated budget of calls and bytes.
 *
 * The budget follows from the fleet: 900 hosts that all refuse at once make at most 900 / 30 s = 30 writes a second,
 * and as many deletions after the retention, of the several hundred writes a second that the platform takes; a batch of
 * at most 40 KB each 30 s is 1.4 KB a second of the 2 KB that a host may spend on control.
 */
export type BatchRecorder = {
	add(record: RefusalRecord): void;
	/** Sends batches until the signal aborts; never rejects. */
	run(signal: AbortSignal): Promise<void>;
	/** Sends what is still here, until the platform gives no answer; only once `run` has ended. */
	flush(timeoutMs: number): Promise<void>;
	/** What became of the records so far. */
	readonly figures: RecorderFigures;
};

/** What became of the records that a recorder was given. */
export type RecorderFigures = {
	readonly seen: number;
	/** In the platform. */
	readonly kept: number;
	/** Counted in the platform, their records left out over the budget. */
	readonly leftOut: number;
	/** Lost with their batches in an outage of the platform; the next batch that arrives says how many. */
	readonly lost: number;
	/** Calls to the platform. */
	readonly calls: number;
};

/** Options of {@link createBatchRecorder}. */
export type BatchRecorderOptions = {
	readonly host: string;
	readonly platform: Platform;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Least time between two writes once the first two are spent, in milliseconds. */
export const WRITE_INTERVAL_MS = 30_000;

/** Writes that may follow each other at once after a quiet time. */
const WRITE_BURST = 2;

/** A first record waits this long for others, with jitter up to twice and more, so that hosts in one storm spread their writes. */
const GATHER_MS = 2000;
const GATHER_JITTER_MS = 8000;

/** Records gathered for one batch, and kinds of refusal told apart in it. */
const MAX_RECORDS = 1000;
const MAX_KINDS = 64;

/** Batches that wait for the platform, and the longest time that one batch covers during an outage. */
const MAX_WAITING = 20;
const LONGEST_SPAN_MS = 60_000;

const PUT_TIMEOUT_MS = 5000;

/** Creates a recorder that has nothing to write. */
export function createBatchRecorder({host, platform, clock, random, log}: BatchRecorderOptions): BatchRecorder {
	const sampler = createRecordSampler({capacity: MAX_RECORDS, maxKinds: MAX_KINDS});
	const waiting: RecordBatch[] = [];
	let firstAt: number | undefined;
	let wake: (() => void) | undefined;
	let lostSinceBatch = 0;
	let seen = 0;
	let kept = 0;
	let leftOut = 0;
	let lost = 0;
	let calls = 0;
	let credit = WRITE_BURST;
	let creditedAt = clock.now();

	const waitForRecord = async (signal: AbortSignal) => {
		if (firstAt !== undefined || waiting.length > 0 || signal.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			wake = resolve;
			signal.addEventListener('abort', () => {
				resolve();
			}, {once: true});
		});
		wake = undefined;
	};

	const waitForCredit = async (signal: AbortSignal) => {
		const now = clock.now();
		credit = Math.min(WRITE_BURST, credit + ((now - creditedAt) / WRITE_INTERVAL_MS));
		creditedAt = now;
		if (credit < 1) {
			await clock.sleep((1 - credit) * WRITE_INTERVAL_MS, signal);
			credit = 1;
			creditedAt = clock.now();
		}

		credit--;
	};

	// Guards against memory that grows through an outage of the platform: a bounded number of batches waits for it,
	// the oldest gives way, and what was in it is counted as lost in the next batch that arrives.
	const dropOldest = () => {
		while (waiting.length > MAX_WAITING) {
			const dropped = waiting.shift()!;
			lost += dropped.seen;
			lostSinceBatch += dropped.seen + dropped.value.lostBefore;
			log.warn('a batch of records was lost, the platform gave no answer for too long', {records: dropped.seen});
		}
	};

	const close = () => {
		if (firstAt === undefined) {
			return;
		}

		const from = firstAt;
		const lostBefore = lostSinceBatch;
		const sample = sampler.take();
		firstAt = undefined;
		lostSinceBatch = 0;
		waiting.push(createRecordBatch({
			host, sample, suffix: Buffer.from(random.bytes(4)).toString('hex'), from, lostBefore,
		}));
		dropOldest();
	};

	const put = async ({name, value}: RecordBatch, timeoutMs: number) => {
		calls++;
		try {
			await platform.put({
				kind: ObjectKind.Explanations, name, value, expectedVersion: 0,
			}, timeoutMs);
		} catch (err) {
			// A lost answer: the name is this batch's own, so an object that stands under it is this batch.
			if (err instanceof PlatformConflictError) {
				return;
			}

			throw err;
		}
	};

	const sendOldest = async (timeoutMs: number) => {
		const batch = waiting[0]!;
		try {
			await put(batch, timeoutMs);
		} catch {
			log.warn('a batch of records waits, the platform gave no answer', {waiting: waiting.length});
			return false;
		}

		waiting.shift();
		kept += batch.kept;
		leftOut += batch.seen - batch.kept;
		return true;
	};

	const isDue = () => waiting.length === 0 || (firstAt !== undefined && clock.wall() - firstAt >= LONGEST_SPAN_MS);

	return {
		add(record) {
			seen++;
			firstAt ??= clock.wall();
			sampler.add(record, random.fraction());
			wake?.();
		},
		async run(signal) {
			while (!signal.aborted) {
				await waitForRecord(signal);
				await clock.sleep(GATHER_MS + (random.fraction() * GATHER_JITTER_MS), signal);
				await waitForCredit(signal);
				if (!signal.aborted) {
					if (isDue()) {
						close();
					}

					await sendOldest(PUT_TIMEOUT_MS);
				}
			}
		},
		async flush(timeoutMs) {
			close();
			const until = clock.now() + timeoutMs;
			while (waiting.length > 0 && clock.now() < until) {
				if (!await sendOldest(until - clock.now())) {
					return;
				}
			}
		},
		get figures() {
			return {
				seen, kept, leftOut, lost, calls,
			};
		},
	};
}
