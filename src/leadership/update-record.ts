import {RecordKind} from '../mirror/metadata-store.js';
import type {Versioned} from '../mirror/mirror-state.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import {getLeadershipName, isInCurrentGeneration, type LeadershipRecord} from './leadership-record.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';

const STORE_TIMEOUT_MS = 900;

/**
 * Writes a group's record conditionally and repeats that until it is known whether the update took effect; resolves to undefined if it did not, or if
 * that is not known by `until`.
 */
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

			log.info('an update of a record got no response and is repeated', {group: record.group, epoch: record.epoch, reason: err.message});
			await clock.sleep(RETRY_MS);
		}
	}

	return undefined;
}

/**
 * Resolves to whether the store still contains a record as this host wrote it. Repeats the request until the store responds; resolves to false after
 * `until`.
 *
 * A store restored from a backup may have lost the record: since then hosts may have obtained leases from the record that was there before, and were not
 * requested to give those up.
 */
export async function isStillStored({mirror, clock}: ReplacePrimaryParts, written: Versioned<LeadershipRecord>, until: number): Promise<boolean> {
	while (clock.now() < until) {
		if (await mirror.confirm()) {
			const record = mirror.state.leadership.get(written.group);
			return record?.version === written.version && isInCurrentGeneration(record, mirror.state.revision);
		}

		await clock.sleep(RETRY_MS);
	}

	return false;
}

/** Returns the stored record if a conflict is with this host's own update, the response to which was lost. */
async function findOwnUpdate(mirror: StoreMirror, record: LeadershipRecord) {
	await mirror.confirm();
	const found = mirror.state.leadership.get(record.group);
	const isStored = found?.generation === record.generation && isInCurrentGeneration(record, mirror.state.revision);
	const isOwn = isStored && found?.changedBy === record.changedBy && found.epoch === record.epoch && found.phase === record.phase && found.primaryId === record.primaryId;
	return isOwn ? found : undefined;
}
