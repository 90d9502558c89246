import type {EndpointDirectory} from '../links/endpoint-directory.js';
import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import type {Versioned} from '../mirror/mirror-state.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {Random} from '../random/random.js';
import {holdsLogPosition} from '../terms/log-position.js';
import type {Clock} from '../time/clock.js';
import {askStatus} from './ask-endpoints.js';
import {getLeadershipName, type LeadershipRecord} from './leadership-record.js';
import {getReplicaSet, getSyncReplicas} from './proven-successors.js';
import {getDepartedMembers, type ReplicaSet} from './replica-set.js';

/** Keeps the replica sets of steady groups up to date in the store. */
export type ReplicaSetUpkeep = {
	/** Begins to write the set of a group anew where its endpoints have changed; returns without waiting. */
	check(record: Versioned<LeadershipRecord>): void;
};

/** What {@link createReplicaSetUpkeep} needs. */
export type ReplicaSetUpkeepOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
};

/** Time for which other hosts leave it to the host that reads the store for all, and over which they then spread their attempts, in milliseconds. */
const OTHER_HOSTS_WAIT_MS = 1000;
const OTHER_HOSTS_JITTER_MS = 1000;

/** Interval between two attempts for a group, in milliseconds: the replicas of a busy primary receive its log within that time. */
const RETRY_MS = 1000;

const STORE_TIMEOUT_MS = 900;

/** Creates the upkeep. */
export function createReplicaSetUpkeep({store, mirror, directory, clock, random, log}: ReplicaSetUpkeepOptions): ReplicaSetUpkeep {
	const underWay = new Set<string>();
	const notBefore = new Map<string, number>();

	/**
	 * Returns the set without the members that have departed, if the other replicas do not need them: as many as the primary waits for hold a position that it
	 * reported after the departure. Undefined if that is not so.
	 */
	const withoutDeparted = async ({primaryId, group}: LeadershipRecord, set: ReplicaSet): Promise<ReplicaSet | undefined> => {
		const listed = directory.list(group);
		const departed = getDepartedMembers(set, listed.map(({entry}) => entry), primaryId);
		const primary = listed.find(({entry}) => entry.id === primaryId);
		const reported = primary && await askStatus({clock}, primary, {kind: 'status'});
		if (departed.length === 0 || reported?.role !== 'primary') {
			return undefined;
		}

		const others = listed.filter(endpoint => endpoint !== primary);
		const statuses = await Promise.all(others.map(async endpoint => askStatus({clock}, endpoint, {kind: 'status'})));
		const holders = statuses.filter(status => status && holdsLogPosition(status.received, reported.received));
		return holders.length >= set.syncReplicas ? {...set, members: set.members.filter(member => !departed.includes(member))} : undefined;
	};

	const hasDeparted = ({replicaSet, group, primaryId}: LeadershipRecord) =>
		replicaSet !== undefined && getDepartedMembers(replicaSet, directory.list(group).map(({entry}) => entry), primaryId).length > 0;

	/** Returns the set to write; undefined if the stored one is up to date. */
	const getNext = async (record: Versioned<LeadershipRecord>) => {
		const extended = getReplicaSet({mirror, directory}, record);
		// A departure can wait for the host that reads for all, which then asks the endpoints alone.
		return extended !== record.replicaSet || !mirror.readsForAll ? extended : withoutDeparted(record, extended!);
	};

	const write = async (group: string, version: number) => {
		if (!mirror.readsForAll) {
			await clock.sleep(OTHER_HOSTS_WAIT_MS + (random.fraction() * OTHER_HOSTS_JITTER_MS));
		}

		// An endpoint that is missing in an old copy may be registered again.
		if (!await mirror.confirm()) {
			return;
		}

		const record = mirror.state.leadership.get(group);
		const replicaSet = record?.version === version ? await getNext(record) : undefined;
		if (!record || !replicaSet || replicaSet === record.replicaSet) {
			return;
		}

		const {version: _, ...value} = record;
		await store.putRecord(RecordKind.Leadership, {name: getLeadershipName(group), version, value: {...value, replicaSet}}, STORE_TIMEOUT_MS);
		log.info('the replica set of a group was written', {
			group, epoch: record.epoch, syncReplicas: replicaSet.syncReplicas, members: replicaSet.members.map(({endpointId}) => endpointId),
		});
		await mirror.confirm();
	};

	const writeSafely = async (group: string, version: number) => {
		underWay.add(group);
		try {
			await write(group, version);
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError)) {
				throw err;
			}

			log.info('the replica set of a group was not written', {group, reason: err.message});
		} finally {
			underWay.delete(group);
			notBefore.set(group, clock.now() + RETRY_MS);
		}
	};

	return {
		check(record) {
			const {group, version} = record;
			if (getSyncReplicas({mirror}, record) === 0 || underWay.has(group) || clock.now() < (notBefore.get(group) ?? 0)) {
				return;
			}

			if (getReplicaSet({mirror, directory}, record) === record.replicaSet && !(mirror.readsForAll && hasDeparted(record))) {
				return;
			}

			writeSafely(group, version).catch((err: unknown) => {
				log.error('a task failed', {err});
			});
		},
	};
}
