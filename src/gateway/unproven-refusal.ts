import {LeadershipPhase, type LeadershipRecord} from '../leadership/leadership-record.js';
import type {TracedRefusal} from './statement-trace.js';

/** Time after which a caller may try again, in milliseconds: once an awaited endpoint responds, its promotion takes about as long. */
const RETRY_AFTER_MS = 1000;

/** Returns the refusal of work at the primary of a group that has none because no endpoint is proven to hold every acknowledged commit; undefined if that is not so. */
export function getUnprovenRefusal(record: Pick<LeadershipRecord, 'phase' | 'awaited'> | undefined): TracedRefusal | undefined {
	if (record?.phase !== LeadershipPhase.Changing || record.awaited === undefined) {
		return undefined;
	}

	const awaited = record.awaited.length === 0 ? 'a server that is not registered' : record.awaited.join(' or ');
	return {
		reason: `no server that responds is known to hold every acknowledged commit; waiting for ${awaited}`,
		retryAfterMs: RETRY_AFTER_MS,
		predictedWaitMs: RETRY_AFTER_MS,
	};
}
