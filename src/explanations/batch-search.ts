import {ObjectKind, type Platform, type PlatformList} from '../object-store/platform.js';
import {getRequestIdTime} from '../random/request-id.js';
import {getMinute, readRecordBatch} from './record-batch.js';
import type {RefusalRecord} from './refusal-record.js';

/** What the platform's batches tell of a request. */
export type BatchSearchResult = {
	readonly records: readonly RefusalRecord[];
	/** Refusals of those minutes whose records were left out over the budget or lost. */
	readonly notKept: number;
	/** False where the platform gave no answer. */
	readonly answered: boolean;
};

const MINUTE_MS = 60_000;

/** A minute of a storm over the whole fleet is a list of some ten megabytes. */
const LIST_TIMEOUT_MS = 15_000;

/**
 * Minutes around the request's own whose batches are read first. A refusal follows its request by a minute at most,
 * and a batch begins two minutes at most before its last record.
 */
const NEAR = [0, -1, 1, -2] as const;

/** Minutes read where those hold nothing: callers' calendars may be off by some minutes. */
const FAR = [2, 3, 4, 5, -3, -4, -5, -6, -7] as const;

/** Finds the records of a request in the platform with a few list calls, from the time in its id. */
export async function searchBatches(platform: Platform, requestId: string): Promise<BatchSearchResult> {
	const at = getRequestIdTime(requestId);
	if (at === undefined) {
		return {records: [], notKept: 0, answered: true};
	}

	const near = await searchMinutes(platform, requestId, NEAR.map(offset => at + (offset * MINUTE_MS)));
	if (near.records.length > 0 || !near.answered) {
		return near;
	}

	const far = await searchMinutes(platform, requestId, FAR.map(offset => at + (offset * MINUTE_MS)));
	return {...far, notKept: near.notKept};
}

async function searchMinutes(platform: Platform, requestId: string, times: readonly number[]): Promise<BatchSearchResult> {
	const lists = await Promise.all(times.filter(time => time >= 0).map(async time => listMinute(platform, time)));
	const objects = lists.flatMap(list => list?.objects ?? []);
	const batches = await Promise.all(objects.map(async object => readRecordBatch(object.value, requestId)));
	const known = batches.filter(batch => batch !== undefined);
	const records = known.flatMap(batch => batch.records);
	const counts = known.flatMap(batch => batch.counts);
	return {
		records: records.toSorted((left, right) => left.at - right.at),
		notKept: counts.reduce((sum, {seen, kept}) => sum + seen - kept, 0) + known.reduce((sum, {lostBefore}) => sum + lostBefore, 0),
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
