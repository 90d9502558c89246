import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointDirectory} from '../links/endpoint-directory.js';
import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import {getGeneration, getNextInGeneration} from '../mirror/store-generation.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {Clock} from '../time/clock.js';
import {getReplicaSet} from './proven-successors.js';
import {getLeadershipName, LeadershipPhase, type LeadershipRecord} from './leadership-record.js';

/** Writes the first record of a group. */
export type FirstRecord = {
	/** Records the endpoint that claims to be primary, if exactly one does. Rejects with PlatformError, PlatformConflictError or LinkError. */
	create(group: string): Promise<void>;
};

/** What {@link createFirstRecord} needs. */
export type FirstRecordOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly clock: Clock;
	readonly log: Log;
	readonly hostName: string;
};

/** Time that each host gives the host before it to write a group's first record, in milliseconds: a status request, an update and a confirmation. */
const RANK_DELAY_MS = 300;

const STORE_TIMEOUT_MS = 900;

/** Creates the writer. Hosts try in the order of their names, so that a first record costs one update and not one per host. */
export function createFirstRecord({store, mirror, directory, clock, log, hostName}: FirstRecordOptions): FirstRecord {
	return {
		async create(group) {
			const names = mirror.state.hosts.map(({name}) => name).toSorted();
			const rank = names.indexOf(hostName);
			if (rank === -1) {
				return;
			}

			await clock.sleep(rank * RANK_DELAY_MS);
			if (mirror.state.leadership.has(group)) {
				return;
			}

			const leaders = directory.list(group).filter(({entry}) => entry.claimsLead && !entry.leaving);
			const leader = leaders[0];
			if (!leader || leaders.length > 1) {
				return;
			}

			const status = await leader.pool.sendCommand({kind: 'status'}, STORE_TIMEOUT_MS);
			if (status.role !== EndpointRole.Primary) {
				return;
			}

			const generation = getGeneration(mirror.state.revision);
			const record: LeadershipRecord = {
				group, primaryId: leader.entry.id, term: status.term, epoch: getNextInGeneration(generation, 0), phase: LeadershipPhase.Steady, start: status.received, changedBy: hostName, generation,
			};
			const replicaSet = getReplicaSet({mirror, directory}, record);
			await store.putRecord(RecordKind.Leadership, {name: getLeadershipName(group), version: 0, value: {...record, ...(replicaSet && {replicaSet})}}, STORE_TIMEOUT_MS);
			log.info('a group has a primary for the first time', {group, primary: record.primaryId, term: record.term});
			await mirror.confirm();
		},
	};
}
