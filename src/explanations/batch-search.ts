import {ObjectKind, type Platform, type PlatformList} from '../object-store/platform.js';
import {getRequestIdTime} from '../random/request-id.js';
import {getMinute, readRecordBatch} from './record-batch.js';
import type {RefusalRecord} from './refusal-record.js';

/** Result of a search for a request in the batches in the platform. */
export type BatchSearchResult = {
	readonly records: readonly RefusalRecord[];
	/** Number of refusals in the searched minutes whose records were omitted to stay within the limits, or lost. */
	readonly notKept: number;
	/** False if the platform failed to answer at least one list call. */
	readonly answered: boolean;
};

const MINUTE_MS = 60_000;

/** Generous because one minute in which the whole fleet refuses requests is a list of about ten megabytes. */
const LIST_TIMEOUT_MS = 15_000;

/**
 * Offsets, in minutes from the time in the request id, of the batches that are read first. A refusal follows its request
 * within one minute, and a batch starts at most two minutes before its last record.
 */
const NEAR_MINUTE_OFFSETS = [0, -1, 1, -2] as const;

/** Offsets that are read if the near ones have no record, because callers' clocks may be off by some minutes. */
const FAR_MINUTE_OFFSETS = [2, 3, 4, 5, -3, -4, -5, -6, -7] as const;

/** Finds the records of a request in the platform with a few list calls, which it derives from the time in the request id. */
export async function searchBatches(platform: Platform, requestId: string): Promise<BatchSearchResult> {
	const at = getRequestIdTime(requestId);
	if (at === undefined) {
		return {records: [], notKept: 0, answered: true};
	}

	const near = await searchMinutes(platform, requestId, NEAR_MINUTE_OFFSETS.map(offset => at + (offset * MINUTE_MS)));
	if (near.records.length > 0 || !near.answered) {
		return near;
	}

	const far = await searchMinutes(platform, requestId, FAR_MINUTE_OFFSETS.map(offset => at + (offset * MINUTE_MS)));
	return {...far, notKept: near.notKept};
}

async function searchMinutes(platform: Platform, requestId: string, times: readonly number[]): Promise<BatchSearchResult> {
	const lists = await Promise.all(times.filter(time => time >= 0).map(async time => listMinute(platform, time)));
	const objects = lists.flatMap(list => list?.objects ?? []);
	const batches = await Promise.all(objects.map(async object => readRecordBatch(object.value, requestId)));
	const readings = batches.filter(batch => batch !== undefined);
	const records = readings.flatMap(batch => batch.records);
	const counts = readings.flatMap(batch => batch.counts);
	return {
		records: records.toSorted((left, right) => left.at - right.at),
		notKept: counts.reduce((sum, {seen, kept}) => sum + seen - kept, 0) + readings.reduce((sum, {lostBefore}) => sum + lostBefore, 0),
		answered: !lists.includes(undefined),
	};
}

async function listMinute(platform: Platform, time: number): Promise<PlatformList | undefined> {
	try {
		return await platform.list(ObjectKind.Explanations, `${getMinute(time)}.`, LIST_TIMEOUT_MS);
	} catch {
		return undefined;
	}
}
