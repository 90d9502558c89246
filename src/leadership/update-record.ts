import {RecordKind} from '../mirror/metadata-store.js';
import type {Versioned} from '../mirror/mirror-state.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import {getLeadershipName, isAffirmed, type LeadershipRecord} from './leadership-record.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';

const STORE_TIMEOUT_MS = 900;

/** Writes a group's record under its condition, again and again until it is known whether that took effect; undefined where it did not. */
export async function updateRecord({store, mirror, clock, log}: ReplacePrimaryParts, record: LeadershipRecord, version: number, until: number): Promise<Versioned<LeadershipRecord> | undefined> {
	const {version: _, ...value} = record as Versioned<LeadershipRecord>;
	while (clock.now() < until) {
		try {
			const stored = await store.putRecord(RecordKind.Leadership, {name: getLeadershipName(record.group), version, value}, STORE_TIMEOUT_MS);
			await mirror.confirm();
			return {...value, version: stored.version};
		} catch (err) {
			if (err instanceof PlatformConflictError) {
				return findOwnUpdate(mirror, record);
			}

			if (!(err instanceof PlatformError)) {
				throw err;
			}

			log.info('an update of a record brought no answer and is repeated', {group: record.group, epoch: record.epoch, reason: err.message});
			await clock.sleep(RETRY_MS);
		}
	}

	return undefined;
}

/**
 * Whether the store still shows a record as this host wrote it, asked until it answers; false after `until`.
 *
 * Guards against a store that came back from a copy and lost the record: hosts may have had evidence of what stood there before since, and were not asked to give that up.
 */
export async function isStillStored({mirror, clock}: ReplacePrimaryParts, written: Versioned<LeadershipRecord>, until: number): Promise<boolean> {
	while (clock.now() < until) {
		if (await mirror.confirm()) {
			const record = mirror.state.leadership.get(written.group);
			return record?.version === written.version && isAffirmed(record, mirror.state.revision);
		}

		await clock.sleep(RETRY_MS);
	}

	return false;
}

/** A conflict may be with this host's own update, the answer to which was lost. */
async function findOwnUpdate(mirror: StoreMirror, record: LeadershipRecord) {
	await mirror.confirm();
	const found = mirror.state.leadership.get(record.group);
	const isStored = found?.generation === record.generation && isAffirmed(record, mirror.state.revision);
	const isOwn = isStored && found?.changedBy === record.changedBy && found.epoch === record.epoch && found.phase === record.phase && found.primaryId === record.primaryId;
	return isOwn ? found : undefined;
}
