import type {EndpointDirectory} from '../links/endpoint-directory.js';
import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import type {Versioned} from '../mirror/mirror-state.js';
import {getGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {liftFences} from './ask-endpoints.js';
import type {LeadEvidences} from './lead-evidence.js';
import {getLeadershipName, isAffirmed, type LeadershipRecord} from './leadership-record.js';

/** Writes records of leadership again in a store that has come back from a copy. */
export type RecordReaffirmation = {
	/** Writes a group's record again where this host has evidence of its primary, now or at a later call; false where it has none. Rejects with PlatformError or PlatformConflictError. */
	reaffirm(record: Versioned<LeadershipRecord>): Promise<boolean>;
};

/** What this needs. */
export type RecordReaffirmationOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly evidences: LeadEvidences;
	readonly directory: EndpointDirectory;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
};

/** Other hosts leave it to the one that reads the store for all for so long, in milliseconds: an update and its way along the tree. */
const OTHERS_WAIT_MS = 400;

/** They spread their own tries over so long, in milliseconds; all of it fits into the time that evidence lasts. */
const OTHERS_SPREAD_MS = 1000;

/** Records that a host writes at once: with the pause between two looks at a group that bounds the rate at the store, however many groups there are. */
const MOST_AT_ONCE = 16;

const STORE_TIMEOUT_MS = 900;

/**
 * Creates the reaffirmation.
 *
 * A restored record may name a primary that was replaced after the copy was made. Evidence of a primary that still holds after the return shows that none
 * was: whoever replaces one has all evidence of it ended first, and then asks the store once more before it gives an order.
 */
export function createRecordReaffirmation({store, mirror, evidences, directory, clock, elapsedClock, random, log}: RecordReaffirmationOptions): RecordReaffirmation {
	let underWay = 0;

	const holdsEvidence = ({group, epoch}: LeadershipRecord) => evidences.get(group, elapsedClock.elapsed())?.epoch === epoch;

	/** Whether the record is still what was looked at, after a wait. */
	const isOpen = ({group, epoch, version}: Versioned<LeadershipRecord>) => {
		const record = mirror.state.leadership.get(group);
		return record?.epoch === epoch && record.version === version && !isAffirmed(record, mirror.state.revision);
	};

	const write = async ({version, ...value}: Versioned<LeadershipRecord>) => {
		const {group, primaryId, term, epoch} = value;
		const generation = getGeneration(mirror.state.revision);
		await store.putRecord(RecordKind.Leadership, {name: getLeadershipName(group), version, value: {...value, generation}}, STORE_TIMEOUT_MS);
		log.info('a record of leadership was written again, since the store came back from a copy', {
			group, primary: primaryId, term, epoch, generation,
		});
		// A replacement whose record was lost, and its host since, left its fences behind.
		liftFences({clock, directory}, group, primaryId);
		await mirror.confirm();
	};

	return {
		async reaffirm(record) {
			if (!holdsEvidence(record)) {
				return false;
			}

			if (!mirror.readsForAll) {
				await clock.sleep(OTHERS_WAIT_MS + (random.fraction() * OTHERS_SPREAD_MS));
			}

			if (!isOpen(record) || !holdsEvidence(record) || underWay >= MOST_AT_ONCE) {
				return true;
			}

			underWay++;
			try {
				await write(record);
			} finally {
				underWay--;
			}

			return true;
		},
	};
}
