import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflateRawSync, inflateRaw} from 'node:zlib';
import * as z from 'zod';
import {packRecords, unpackRecords} from './record-codec.js';
import {OTHER_GROUPS, type RecordSample, type RefusalCount} from './record-sampler.js';
import type {RefusalRecord} from './refusal-record.js';

const inflate = promisify(inflateRaw);

/** Maximum size of a batch's compressed records as base64 text, in bytes. */
export const MAX_BATCH_BYTES = 40_960;

/** Maximum inflated size of a batch's records, in bytes. */
const MAX_INFLATED_BYTES = 8_388_608;

/** Fraction of the maximum size that an oversized batch is reduced to, by estimate. */
const FIT_SHARE = 0.95;

/** Length of the time at the start of a batch name, which has a resolution of one minute. */
const MINUTE_LENGTH = 'YYYYMMDDTHHMM'.length;

/** A batch of records for the platform, small enough for one object. */
export type RecordBatch = {
	/** `MINUTE.HOST.RANDOM`, where MINUTE is the minute of the first record. */
	readonly name: string;
	readonly value: StoredBatch;
	/** Number of records in the batch. */
	readonly kept: number;
	/** Number of refusals that the batch counts, including those whose records were omitted. */
	readonly seen: number;
};

const storedBatchSchema = z.object({
	host: z.string(),
	/** The number of refusals of each kind, and how many of them are in `records`. */
	counts: z.array(z.object({
		group: z.string(), code: z.string(), seen: z.number(), kept: z.number(),
	})),
	/** Number of earlier refusals whose batches were lost in a platform outage. */
	lostBefore: z.number(),
	/** The records as MessagePack, deflated, in base64. */
	records: z.string(),
});

/** The value of a platform object of kind `explanations`. */
export type StoredBatch = z.infer<typeof storedBatchSchema>;

/** The records of one request in a batch, with the batch's counts. */
export type BatchReading = {
	readonly records: readonly RefusalRecord[];
	readonly counts: readonly RefusalCount[];
	readonly lostBefore: number;
};

/** Options of {@link createRecordBatch}. */
export type RecordBatchOptions = {
	readonly host: string;
	readonly sample: RecordSample;
	/** Random last part of the name. */
	readonly suffix: string;
	/** Time at which the first record was added, in milliseconds since the epoch. */
	readonly from: number;
	readonly lostBefore: number;
};

/** Compresses a sample, and omits records at even intervals until it fits. */
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

/** Finds the records of one request in a batch. Resolves to undefined if the value is not a batch. */
export async function readRecordBatch(value: unknown, requestId: string): Promise<BatchReading | undefined> {
	const parsed = storedBatchSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {records, counts, lostBefore} = parsed.data;
	try {
		const packed = await inflate(Buffer.from(records, 'base64'), {maxOutputLength: MAX_INFLATED_BYTES});
		// Many refusals leave hundreds of batches in one minute. Only a batch that contains the id as text is unpacked.
		const found = packed.includes(requestId) ? unpackRecords(packed) : [];
		return {records: found.filter(record => record.requestId === requestId), counts, lostBefore};
	} catch {
		return undefined;
	}
}

/** Formats the minute of a time, in milliseconds since the epoch, as batch names start: `20260105T0612`. */
export function getMinute(ms: number): string {
	return new Date(ms).toISOString().replaceAll(/[\-:]/gv, '').slice(0, MINUTE_LENGTH);
}

/** Returns a fraction of the records, selected at even intervals. */
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
