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
 * Writes records to the platform in batches and limits both the call rate and the bytes written.
 *
 * The limits are sized for the whole fleet. If 900 hosts refuse requests at once, they make at most 900 / 30 s = 30 writes
 * per second, and as many deletions after the retention period; the platform accepts several hundred writes per second.
 * A batch of at most 40 KB every 30 s is 1.4 KB per second of the 2 KB that a host may spend on control traffic.
 */
export type BatchRecorder = {
	add(record: RefusalRecord): void;
	/** Sends batches until the signal aborts. The promise never rejects. */
	run(signal: AbortSignal): Promise<void>;
	/** Sends the remaining batches until the platform fails to answer or the timeout expires. Call it only after `run` has resolved. */
	flush(timeoutMs: number): Promise<void>;
	/** Counts of the records handled so far. */
	readonly figures: RecorderFigures;
};

/** Counts of the records that a recorder received, and of its calls to the platform. */
export type RecorderFigures = {
	readonly seen: number;
	/** Records stored in the platform. */
	readonly kept: number;
	/** Refusals that stored batches count but whose records were omitted to stay within the limits. */
	readonly leftOut: number;
	/** Records lost because their batches were dropped during a platform outage. The next batch that is created states how many. */
	readonly lost: number;
	/** Write calls made to the platform. */
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

/** Minimum average interval between writes after a burst of {@link WRITE_BURST}, in milliseconds. */
export const WRITE_INTERVAL_MS = 30_000;

/** Number of writes that may follow each other without a delay after an idle period. */
const WRITE_BURST = 2;

/** How long the first record of a batch waits for others, in milliseconds. The jitter spreads the writes of hosts that refuse requests at the same time. */
const GATHER_MS = 2000;
const GATHER_JITTER_MS = 8000;

/** Maximum number of records, and of distinct kinds of refusal, in one batch. */
const MAX_RECORDS = 1000;
const MAX_KINDS = 64;

/** Maximum number of batches that wait for the platform, and the time that one batch covers during an outage. */
const MAX_PENDING_BATCHES = 20;
const MAX_BATCH_SPAN_MS = 60_000;

const PUT_TIMEOUT_MS = 5000;

/** Creates a recorder without records. */
export function createBatchRecorder({host, platform, clock, random, log}: BatchRecorderOptions): BatchRecorder {
	const sampler = createRecordSampler({capacity: MAX_RECORDS, maxKinds: MAX_KINDS});
	const pendingBatches: RecordBatch[] = [];
	let firstRecordAt: number | undefined;
	let wake: (() => void) | undefined;
	let lostSinceBatch = 0;
	let seen = 0;
	let kept = 0;
	let leftOut = 0;
	let lost = 0;
	let calls = 0;
	let writeTokens = WRITE_BURST;
	let refilledAt = clock.now();

	const waitForRecord = async (signal: AbortSignal) => {
		if (firstRecordAt !== undefined || pendingBatches.length > 0 || signal.aborted) {
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

	const waitForWriteToken = async (signal: AbortSignal) => {
		const now = clock.now();
		writeTokens = Math.min(WRITE_BURST, writeTokens + ((now - refilledAt) / WRITE_INTERVAL_MS));
		refilledAt = now;
		if (writeTokens < 1) {
			await clock.sleep((1 - writeTokens) * WRITE_INTERVAL_MS, signal);
			writeTokens = 1;
			refilledAt = clock.now();
		}

		writeTokens--;
	};

	// Bounds memory during a platform outage: only a limited number of batches waits, the oldest is dropped, and its
	// records are counted as lost in the next batch that is created.
	const dropOldest = () => {
		while (pendingBatches.length > MAX_PENDING_BATCHES) {
			const dropped = pendingBatches.shift()!;
			lost += dropped.seen;
			lostSinceBatch += dropped.seen + dropped.value.lostBefore;
			log.warn('a batch of records was dropped because the platform did not store it in time', {records: dropped.seen});
		}
	};

	const closeBatch = () => {
		if (firstRecordAt === undefined) {
			return;
		}

		const from = firstRecordAt;
		const lostBefore = lostSinceBatch;
		const sample = sampler.take();
		firstRecordAt = undefined;
		lostSinceBatch = 0;
		pendingBatches.push(createRecordBatch({
			host, sample, suffix: Buffer.from(random.bytes(4)).toString('hex'), from, lostBefore,
		}));
		dropOldest();
	};

	const putBatch = async ({name, value}: RecordBatch, timeoutMs: number) => {
		calls++;
		try {
			await platform.put({
				kind: ObjectKind.Explanations, name, value, expectedVersion: 0,
			}, timeoutMs);
		} catch (err) {
			// The answer to an earlier attempt was lost. The name is unique to this batch, so the existing object is this batch.
			if (err instanceof PlatformConflictError) {
				return;
			}

			throw err;
		}
	};

	const sendOldest = async (timeoutMs: number) => {
		const batch = pendingBatches[0]!;
		try {
			await putBatch(batch, timeoutMs);
		} catch {
			log.warn('a batch of records is waiting because a call to the platform failed', {waiting: pendingBatches.length});
			return false;
		}

		pendingBatches.shift();
		kept += batch.kept;
		leftOut += batch.seen - batch.kept;
		return true;
	};

	const isDue = () => pendingBatches.length === 0 || (firstRecordAt !== undefined && clock.wall() - firstRecordAt >= MAX_BATCH_SPAN_MS);

	return {
		add(record) {
			seen++;
			firstRecordAt ??= clock.wall();
			sampler.add(record, random.fraction());
			wake?.();
		},
		async run(signal) {
			while (!signal.aborted) {
				await waitForRecord(signal);
				await clock.sleep(GATHER_MS + (random.fraction() * GATHER_JITTER_MS), signal);
				await waitForWriteToken(signal);
				if (!signal.aborted) {
					if (isDue()) {
						closeBatch();
					}

					await sendOldest(PUT_TIMEOUT_MS);
				}
			}
		},
		async flush(timeoutMs) {
			closeBatch();
			const until = clock.now() + timeoutMs;
			while (pendingBatches.length > 0 && clock.now() < until) {
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
