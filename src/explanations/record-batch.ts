import {Buffer} from 'node:buffer';
import {promisify} from 'node:util';
import {deflateRawSync, inflateRaw} from 'node:zlib';
import {z} from 'zod';
import {packRecords, unpackRecords} from './record-codec.js';
import {OTHER_GROUPS, type RecordSample, type RefusalCount} from './record-sampler.js';
import type {RefusalRecord} from './refusal-record.js';

const inflate = promisify(inflateRaw);

/** Largest batch, in bytes of its compressed records as text. */
export const MAX_BATCH_BYTES = 40_960;

/** Largest text that a batch may inflate to, in bytes. */
const MAX_INFLATED_BYTES = 8_388_608;

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

/** A batch as it was read. */
export type ReadBatch = {
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

/** Compresses a sample; keeps half of its records, and half again, until it fits. */
export function createRecordBatch({host, sample, suffix, from, lostBefore}: RecordBatchOptions): RecordBatch {
	let {records} = sample;
	let text = compress(records);
	while (text.length > MAX_BATCH_BYTES) {
		records = records.filter((_, index) => index % 2 === 0);
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

/** Reads a batch; undefined where the value is none. */
export async function readRecordBatch(value: unknown): Promise<ReadBatch | undefined> {
	const parsed = storedBatchSchema.safeParse(value);
	if (!parsed.success) {
		return undefined;
	}

	const {records, counts, lostBefore} = parsed.data;
	try {
		const packed = await inflate(Buffer.from(records, 'base64'), {maxOutputLength: MAX_INFLATED_BYTES});
		return {records: unpackRecords(packed), counts, lostBefore};
	} catch {
		return undefined;
	}
}

/** The minute of a time in milliseconds since the epoch, as batch names begin: `20260105T0612`. */
export function getMinute(ms: number): string {
	return new Date(ms).toISOString().replaceAll(/[\-:]/gv, '').slice(0, MINUTE_LENGTH);
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
