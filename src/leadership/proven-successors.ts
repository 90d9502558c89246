import {isDeepStrictEqual} from 'node:util';
import type {Versioned} from '../mirror/mirror-state.js';
import {
	compareLogPositions, getLaterLogPosition, holdsLogPosition, type LogPosition,
} from '../terms/log-position.js';
import {gatherCandidates} from './ask-endpoints.js';
import type {SuccessorCandidate} from './choose-successor.js';
import {proveCommits, type LogReport} from './commit-proof.js';
import {isInCurrentGeneration, LeadershipPhase, type LeadershipRecord} from './leadership-record.js';
import {notifyOtherHosts} from './notify-other-hosts.js';
import {extendReplicaSet, type ReplicaSet} from './replica-set.js';
import {RETRY_MS, type ReplacePrimaryParts} from './replace-parts.js';
import {updateRecord} from './update-record.js';

/** A change of a group whose primary waits for replicas, once all primary leases have ended. */
export type ProvenChange = {
	/** The record as this host wrote it. */
	readonly changing: Versioned<LeadershipRecord>;
	readonly before: LeadershipRecord;
	/** The primary whose response is not waited for in the first round; undefined where it serves. */
	readonly silentId?: string;
	/** Ids of endpoints that have lost their fence, and must not be promoted. */
	readonly unfenced: ReadonlySet<string>;
	/** A position at or above all commits that any host has acknowledged; undefined if that is not known. */
	readonly acknowledgedEnd?: LogPosition;
	/** A position above which some host has acknowledged a commit; undefined if none is known. */
	readonly exceeded?: LogPosition;
};

/** Endpoints that hold every acknowledged commit. */
export type ProvenSuccessors = {
	/** The record as it stands now. */
	readonly changing: Versioned<LeadershipRecord>;
	readonly candidates: readonly SuccessorCandidate[];
};

/** Interval at which the endpoints of a group are asked again, in milliseconds: a fraction of a promotion. */
const PROOF_INTERVAL_MS = 200;

/** Returns how many replicas the primary of a group waits for, as configured; as recorded if this host does not know the group's configuration. */
export function getSyncReplicas({mirror}: Pick<ReplacePrimaryParts, 'mirror'>, {group, replicaSet}: LeadershipRecord): number {
	const configured = mirror.state.routing?.groups.get(group);
	return (configured ? configured.syncReplicas : replicaSet?.syncReplicas) ?? 0;
}

/** Returns the group's replica set with all endpoints that this host knows; undefined if the group's primary waits for no replica. */
export function getReplicaSet({mirror, directory}: Pick<ReplacePrimaryParts, 'mirror' | 'directory'>, record: LeadershipRecord): ReplicaSet | undefined {
	const {group, primaryId, replicaSet} = record;
	const syncReplicas = getSyncReplicas({mirror}, record);
	if (syncReplicas === 0) {
		return replicaSet;
	}

	return extendReplicaSet(replicaSet, {primaryId, listed: directory.list(group).map(({entry}) => entry), syncReplicas});
}

/**
 * Asks the endpoints of a group until some are proven to hold every acknowledged commit. Resolves to undefined if none is by `until`, or if the record
 * is no longer this host's.
 *
 * Guards against the promotion of a replica that lacks acknowledged commits, while the one that confirmed them cannot be reached.
 */
export async function gatherProvenSuccessors(parts: ReplacePrimaryParts, change: ProvenChange, until: number): Promise<ProvenSuccessors | undefined> {
	const {changing, before, silentId, unfenced, acknowledgedEnd, exceeded} = change;
	const {clock, directory, log, mirror, onAwaited} = parts;
	const {group} = changing;
	try {
		for (let round = 0; clock.now() < until; round++) {
			const found = await gatherCandidates(parts, group, {kind: 'fence', term: before.term + 1}, round === 0 ? silentId : undefined);
			// Confirmed after the responses, so that an endpoint that restarted without its log before it responded is known to have done so.
			if (!await mirror.confirm()) {
				await clock.sleep(RETRY_MS);
				continue;
			}

			directory.update(clock.now());
			const record = mirror.state.leadership.get(group);
			if (!record || !isSameChange(record, changing) || !isInCurrentGeneration(record, mirror.state.revision)) {
				log.warn('the record of a change is no longer stored', {group, epoch: changing.epoch});
				return undefined;
			}

			const current = found.filter(({endpointId}) => directory.get(endpointId) !== undefined);
			if (getSyncReplicas(parts, record) === 0) {
				return {changing: record, candidates: current.filter(({endpointId}) => !unfenced.has(endpointId))};
			}

			const replicaSet = getReplicaSet(parts, record)!;
			const proof = proveCommits(replicaSet, current.map(candidate => getLogReport(parts, candidate)));
			const sufficient = getLowest([proof.required, acknowledgedEnd, record.required]);
			// An endpoint that this host has never seen registered may have confirmed commits, but no log below them holds all.
			const required = sufficient && exceeded ? getLaterLogPosition(sufficient, exceeded) : sufficient;
			const candidates = current.filter(({endpointId, status}) => required && holdsLogPosition(status.received, required) && !unfenced.has(endpointId));
			if (candidates.length > 0) {
				log.info('endpoints are proven to hold every acknowledged commit', {
					group, required, acknowledgedEnd, exceeded, missing: proof.missing, endpoints: candidates.map(({endpointId}) => endpointId),
				});
				return {changing: {...record, replicaSet}, candidates};
			}

			onAwaited?.(group, proof.missing);
			await noteAwaited(parts, {...record, replicaSet, ...(required && {required})}, proof.missing);
			await clock.sleep(PROOF_INTERVAL_MS);
		}

		return undefined;
	} finally {
		onAwaited?.(group, []);
	}
}

/** Returns whether a primary that still serves could be replaced without loss: a replica that is not leaving holds its whole log, or enough replicas respond. */
export async function hasProvableSuccessor(parts: ReplacePrimaryParts, record: LeadershipRecord): Promise<boolean> {
	const replicaSet = getReplicaSet(parts, record);
	const found = await gatherCandidates(parts, record.group, {kind: 'status'});
	const others = found.filter(({endpointId}) => endpointId !== record.primaryId);
	const reports = found.map(candidate => getLogReport(parts, candidate));
	const withoutPrimary = reports.filter(({endpointId}) => endpointId !== record.primaryId);
	const proofs = replicaSet ? [reports, withoutPrimary].map(reported => proveCommits(replicaSet, reported)) : [];
	return proofs.some(({required}) => required && others.some(({leaving, status}) => !leaving && holdsLogPosition(status.received, required)));
}

function getLowest(positions: ReadonlyArray<LogPosition | undefined>): LogPosition | undefined {
	return positions.filter(position => position !== undefined).toSorted(compareLogPositions)[0];
}

function isSameChange(record: LeadershipRecord, changing: LeadershipRecord) {
	return record.epoch === changing.epoch && record.changedBy === changing.changedBy && record.phase === LeadershipPhase.Changing;
}

function getLogReport({directory}: ReplacePrimaryParts, {endpointId, status}: SuccessorCandidate): LogReport {
	return {endpointId, address: directory.get(endpointId)?.entry.address ?? '', received: status.received};
}

/** Names in the record the endpoints whose response is awaited, so that all hosts refuse writes at once and say why. */
async function noteAwaited(parts: ReplacePrimaryParts, record: Versioned<LeadershipRecord>, missing: readonly string[]) {
	if (isDeepStrictEqual(record.awaited, missing)) {
		return;
	}

	const {group, epoch, required, replicaSet} = record;
	parts.log.warn('no endpoint is proven to hold every acknowledged commit', {
		group, epoch, missing, required, members: replicaSet?.members.map(({endpointId}) => endpointId), syncReplicas: replicaSet?.syncReplicas,
	});
	// One attempt: the next round repeats it.
	await updateRecord(parts, {...record, awaited: missing}, record.version, parts.clock.now() + 1);
	notifyOtherHosts(parts);
}
