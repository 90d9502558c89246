import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflateRawSync, inflateRaw} from 'node:zlib';
import * as z from 'zod';
import {packRecords, unpackRecords} from './record-codec.js';
import {OTHER_GROUPS, type RecordSample, type RefusalCount} from './record-sampler.js';
import type {RefusalRecord} from './refusal-record.js';

const inflate = promisify(inflateRaw);

/** Largest batch, in bytes of its compressed records as text. */
export const MAX_BATCH_BYTES = 40_960;

/** Largest text that a batch may inflate to, in bytes. */
const MAX_INFLATED_BYTES = 8_388_608;

/** How far under its bound a batch that was too large is aimed. */
const FIT_SHARE = 0.95;

/** Minutes from the calendar time in a name. */
const MINUTE_LENGTH = 'YYYYMMDDTHHMM'.length;

/** A batch of records on its way to the platform, small enough for one object. */
export type RecordBatch = {
	/** `MINUTE.HOST.RANDOM`; the minute is that of the first record. */
	readonly name: string;
	readonly value: StoredBatch;
	/** Refusals whose records are in it. */
	readonly kept: number;
	/** Refusals that it counts. */
	readonly seen: number;
};

const storedBatchSchema = z.object({
	host: z.string(),
	/** How many refusals of each kind there were, and how many of them are in `records`. */
	counts: z.array(z.object({
		group: z.string(), code: z.string(), seen: z.number(), kept: z.number(),
	})),
	/** Refusals before this batch whose batch was lost in an outage of the platform. */
	lostBefore: z.number(),
	/** The records: MessagePack, deflated, in base64. */
	records: z.string(),
});

/** The value of a platform object of kind `explanations`. */
export type StoredBatch = z.infer<typeof storedBatchSchema>;

/** What a batch tells of one request. */
export type BatchReading = {
	readonly records: readonly RefusalRecord[];
	readonly counts: readonly RefusalCount[];
	readonly lostBefore: number;
};

/** Options of {@link createRecordBatch}. */
export type RecordBatchOptions = {
	readonly host: string;
	readonly sample: RecordSample;
	/** Random part of the name. */
	readonly suffix: string;
	/** When the first record was added, milliseconds since the epoch. */
	readonly from: number;
	readonly lostBefore: number;
};

/** Compresses a sample; leaves out records all along it until it fits. */
export function createRecordBatch({host, sample, suffix, from, lostBefore}: RecordBatchOptions): RecordBatch {
	let {records} = sample;
	let text = compress(records);
	while (text.length > MAX_BATCH_BYTES) {
		records = keepShare(records, FIT_SHARE * MAX_BATCH_BYTES / text.length);
		text = compress(records);
	}

	const counts = recount(sample.counts, records);
	return {
		name: `${getMinute(from)}.${host}.${suffix}`,
		value: {
			host, counts, lostBefore, records: text,
		},
		kept: records.length,
		seen: counts.reduce((sum, count) => sum + count.seen, 0),
	};
}

/** Finds the records of one request in a batch; undefined where the value is no batch. */
export async function readRecordBatch(value: unknown, requestId: string): Promise<BatchReading | undefined> {
	const parsed = storedBatchSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {records, counts, lostBefore} = parsed.data;
	try {
		const packed = await inflate(Buffer.from(records, 'base64'), {maxOutputLength: MAX_INFLATED_BYTES});
		// A storm leaves hundreds of batches in a minute, and the id stands as text in the one that is looked for.
		const found = packed.includes(requestId) ? unpackRecords(packed) : [];
		return {records: found.filter(record => record.requestId === requestId), counts, lostBefore};
	} catch {
		return undefined;
	}
}

/** The minute of a time in milliseconds since the epoch, as batch names begin: `20260105T0612`. */
export function getMinute(ms: number): string {
	return new Date(ms).toISOString().replaceAll(/[\-:]/gv, '').slice(0, MINUTE_LENGTH);
}

/** Keeps a share of the records, evenly along them. */
function keepShare(records: readonly RefusalRecord[], share: number): RefusalRecord[] {
	return records.filter((_, index) => Math.floor((index + 1) * share) > Math.floor(index * share));
}

function compress(records: readonly RefusalRecord[]): string {
	return deflateRawSync(packRecords(records)).toString('base64');
}

function recount(counts: readonly RefusalCount[], records: readonly RefusalRecord[]): RefusalCount[] {
	const kept = new Map(counts.map(({group, code}) => [`${group} ${code}`, 0]));
	for (const {group, code} of records) {
		const own = `${group} ${code}`;
		const kind = kept.has(own) ? own : `${OTHER_GROUPS} ${code}`;
		kept.set(kind, kept.get(kind)! + 1);
	}

	return counts.map(count => ({...count, kept: kept.get(`${count.group} ${count.code}`)!}));
}
