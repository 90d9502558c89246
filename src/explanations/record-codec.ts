import {Packr} from 'msgpackr';
import * as z from 'zod';
import {Outcome} from '../callers/caller-response.js';
import type {RefusalCode} from '../refusals/refusal.js';
import type {RefusalRecord} from './refusal-record.js';

const packr = new Packr({useRecords: false});

/** A serialized record: its fields in a fixed order, because their names would take up half of a ticket. */
type PackedRecord = readonly unknown[];

/** The code is any text, so that tickets of a newer version with unknown codes can be read. */
const packedRecordSchema = z.tuple([
	z.string(), // code
	z.string(), // reason
	z.number().nullable(), // retryAfterMs
	z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])), // facts
	z.string(), // requestId
	z.string(), // group
	z.string(), // asked
	z.string(), // class
	z.string().nullable(), // sessionId
	z.enum(Outcome),
	z.string(), // host
	z.number(), // at
	z.number(), // configVersion
]);

/** Packs a record. */
export function packRecord(record: RefusalRecord): Uint8Array {
	return packr.pack(toPacked(record));
}

/** Reads a packed record. Returns undefined if the bytes are not a record. */
export function unpackRecord(bytes: Uint8Array): RefusalRecord | undefined {
	return fromPacked(unpack(bytes));
}

/** Packs a batch of records. */
export function packRecords(records: readonly RefusalRecord[]): Uint8Array {
	return packr.pack(records.map(record => toPacked(record)));
}

/** Reads a batch of records, and skips items that are not records. */
export function unpackRecords(bytes: Uint8Array): readonly RefusalRecord[] {
	const packed = unpack(bytes);
	return Array.isArray(packed) ? packed.map(item => fromPacked(item)).filter(record => record !== undefined) : [];
}

function unpack(bytes: Uint8Array): unknown {
	try {
		return packr.unpack(bytes);
	} catch {
		return undefined;
	}
}

function toPacked(record: RefusalRecord): PackedRecord {
	return [
		record.code,
		record.reason,
		record.retryAfterMs ?? null,
		record.facts,
		record.requestId,
		record.group,
		record.asked,
		record.class,
		record.sessionId ?? null,
		record.outcome,
		record.host,
		record.at,
		record.configVersion,
	];
}

function fromPacked(packed: unknown): RefusalRecord | undefined {
	const parsed = packedRecordSchema.safeParse(packed);
	if (!parsed.success) {
		return undefined;
	}

	const [code, reason, retryAfterMs, facts, requestId, group, asked, workClass, sessionId, outcome, host, at, configVersion] = parsed.data;
	return {
		code: code as RefusalCode,
		reason,
		retryAfterMs: retryAfterMs ?? undefined,
		facts,
		requestId,
		group,
		asked,
		class: workClass,
		sessionId: sessionId ?? undefined,
		outcome,
		host,
		at,
		configVersion,
	};
}
