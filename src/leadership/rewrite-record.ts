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
import type {PrimaryLeases} from './primary-leases.js';
import {getLeadershipName, isInCurrentGeneration, type LeadershipRecord} from './leadership-record.js';

/** Rewrites leadership records in a store that was restored from a backup. */
export type RecordRewriter = {
	/**
	 * Rewrites a group's record if this host holds a lease of its primary, now or at a later call; resolves to false if it holds none.
	 * Rejects with PlatformError or PlatformConflictError.
	 */
	rewrite(record: Versioned<LeadershipRecord>): Promise<boolean>;
};

/** What {@link createRecordRewriter} needs. */
export type RecordRewriterOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly primaryLeases: PrimaryLeases;
	readonly directory: EndpointDirectory;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
};

/** Time for which other hosts leave it to the host that reads the store for all, in milliseconds: an update and its distribution along the host tree. */
const OTHER_HOSTS_WAIT_MS = 400;

/** Time over which the other hosts spread their own attempts, in milliseconds; with the wait it is shorter than a primary lease. */
const OTHER_HOSTS_JITTER_MS = 1000;

/** Records that a host writes at the same time: with the interval at which a group is checked this limits the update rate at the store, however many groups there are. */
const MAX_CONCURRENT_WRITES = 16;

const STORE_TIMEOUT_MS = 900;

/**
 * Creates the rewriter.
 *
 * A restored record may name a primary that was replaced after the backup was made. A lease of the primary that is still valid after the restore proves
 * that it was not: a host that replaces a primary first has all leases of it ended, and then reads the store once more before it gives an order.
 */
export function createRecordRewriter({store, mirror, primaryLeases, directory, clock, elapsedClock, random, log}: RecordRewriterOptions): RecordRewriter {
	let underWay = 0;

	const holdsLease = ({group, epoch}: LeadershipRecord) => primaryLeases.get(group, elapsedClock.elapsed())?.epoch === epoch;

	/** Whether, after a wait, the stored record is unchanged and still has to be rewritten. */
	const isPending = ({group, epoch, version}: Versioned<LeadershipRecord>) => {
		const record = mirror.state.leadership.get(group);
		return record?.epoch === epoch && record.version === version && !isInCurrentGeneration(record, mirror.state.revision);
	};

	const write = async ({version, ...value}: Versioned<LeadershipRecord>) => {
		const {group, primaryId, term, epoch} = value;
		const generation = getGeneration(mirror.state.revision);
		await store.putRecord(RecordKind.Leadership, {name: getLeadershipName(group), version, value: {...value, generation}}, STORE_TIMEOUT_MS);
		log.info('a record of leadership was written again, since the store came back from a copy', {
			group, primary: primaryId, term, epoch, generation,
		});
		// A replacement whose record was lost with the store, and whose host has died since, left its fences behind.
		liftFences({clock, directory}, group, primaryId);
		await mirror.confirm();
	};

	return {
		async rewrite(record) {
			if (!holdsLease(record)) {
				return false;
			}

			if (!mirror.readsForAll) {
				await clock.sleep(OTHER_HOSTS_WAIT_MS + (random.fraction() * OTHER_HOSTS_JITTER_MS));
			}

			if (!isPending(record) || !holdsLease(record) || underWay >= MAX_CONCURRENT_WRITES) {
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
