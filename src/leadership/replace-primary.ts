import type {Versioned} from '../mirror/mirror-state.js';
import {getGeneration, getNextInGeneration} from '../mirror/store-generation.js';
import {PRIMARY_LEASE_MS} from './primary-leases.js';
import {isInCurrentGeneration, LeadershipPhase, type LeadershipRecord} from './leadership-record.js';
import {
	restoreReplicas, gatherCandidates, keepFenced, liftFences, waitForCatchUp,
} from './ask-endpoints.js';
import type {SuccessorCandidate} from './choose-successor.js';
import {createLeaseRevocation, type LeaseRevocation} from './lease-revocation.js';
import {notifyOtherHosts} from './notify-other-hosts.js';
import {
	gatherProvenSuccessors, getReplicaSet, getSyncReplicas, hasProvableSuccessor,
} from './proven-successors.js';
import {promoteBestCandidate} from './promote-best.js';
import {ORDER_EFFECT_MS} from './promotion-orders.js';
import type {ReplacePrimaryParts} from './replace-parts.js';
import {isStillStored, updateRecord} from './update-record.js';

/** Why a primary is replaced. */
export type Replacement = {
	readonly group: string;
	readonly reason: string;
	/** The primary still serves: work in progress may finish, and the successor must hold the primary's whole log. */
	readonly planned: boolean;
};

/** Time waited beyond the duration of a primary lease, in milliseconds, since clocks differ in rate. */
const LEASE_MARGIN_MS = 150;

/** Time that open transactions have to finish in a planned change, in milliseconds, while new work waits. */
const PLANNED_DRAIN_MS = 600;

/** Interval at which the failover lease is renewed while a primary is replaced, in milliseconds: three attempts within the lease. */
const RENEWAL_INTERVAL_MS = 1000;

/** A replacement is abandoned after this time, in milliseconds; the record then still says that the group is changing, and the next host continues. */
const REPLACEMENT_TIMEOUT_MS = 12_000;

/**
 * Replaces the primary of a group; resolves to true once the store has a steady primary again.
 *
 * The order of the steps protects acknowledged commits and fresh reads. First the record says that the group is changing, so that no host can get
 * a new lease of the old primary. Then every host gives up its lease, or the leases expire. Only then is an endpoint promoted.
 */
export async function replacePrimary(outerParts: ReplacePrimaryParts, replacement: Replacement): Promise<boolean> {
	const parts = {...outerParts, log: outerParts.log.withPrefix('replace: ')};
	if (!await parts.failoverLease.take()) {
		return false;
	}

	const ended = new AbortController();
	void renewFailoverLease(parts, ended.signal);
	try {
		return await replaceUnderLease(parts, replacement);
	} finally {
		ended.abort();
	}
}

/** Renews the failover lease, since the wait for primary leases to expire is as long as the failover lease lasts. */
async function renewFailoverLease({failoverLease, clock}: ReplacePrimaryParts, ended: AbortSignal) {
	for (;;) {
		await clock.sleep(RENEWAL_INTERVAL_MS, ended);
		if (ended.aborted || !await failoverLease.take()) {
			return;
		}
	}
}

async function replaceUnderLease(parts: ReplacePrimaryParts, replacement: Replacement): Promise<boolean> {
	const {clock, elapsedClock, log, mirror} = parts;
	const {group, planned, reason} = replacement;
	const giveUpAt = clock.now() + REPLACEMENT_TIMEOUT_MS;
	const marks: number[] = [clock.now()];
	const mark = () => {
		marks.push(clock.now());
	};

	const held = mirror.state.leadership.get(group);
	if (!held) {
		return false;
	}

	const {revision} = mirror.state;
	const generation = getGeneration(revision);
	// A record of an earlier store generation may be out of date: another primary may have been promoted since, as in an unfinished change.
	const before = isInCurrentGeneration(held, revision) ? held : {...held, phase: LeadershipPhase.Changing};

	if (planned && getSyncReplicas(parts, before) > 0 && !await hasProvableSuccessor(parts, before)) {
		log.info('a primary that still serves is not replaced: no replica is known to hold every acknowledged commit', {group, primary: before.primaryId});
		return false;
	}

	log.info('a primary is replaced', {
		group, reason, planned, primary: before.primaryId, epoch: before.epoch, term: before.term, version: before.version,
	});
	const changing = await updateRecord(parts, {
		...before, epoch: getNextInGeneration(generation, before.epoch), phase: LeadershipPhase.Changing, changedBy: parts.hostName, generation, replicaSet: getReplicaSet(parts, before),
	}, before.version, giveUpAt);
	if (!changing) {
		log.info('another host changed the record first', {group, epoch: before.epoch});
		return false;
	}

	// A lease read before the record was updated started at the latest when the response to the update arrived.
	const markedAt = elapsedClock.elapsed();
	mark();
	const revocation = createLeaseRevocation(parts, changing, planned ? PLANNED_DRAIN_MS : 0);
	if (planned) {
		await revocation.request();
		await waitForCatchUp(parts, before);
	}

	const fence = async () => {
		const found = await gatherCandidates(parts, group, {kind: 'fence', term: before.term + 1}, planned ? undefined : before.primaryId);
		return {all: found, fencedAt: elapsedClock.elapsed()};
	};

	// Counted from the fences and not from the hosts' responses: a host that does not respond would lengthen the time without a primary by 800 ms, its timeout in each round.
	const [{all, fencedAt}] = await Promise.all([fence(), revocation.request()]);
	const byTime = await revocation.wait(Math.max(markedAt, fencedAt) + PRIMARY_LEASE_MS + LEASE_MARGIN_MS);
	mark();
	if (before.phase === LeadershipPhase.Changing) {
		// Another host may have given a promotion order before it died.
		await clock.sleep(markedAt + ORDER_EFFECT_MS - elapsedClock.elapsed());
	}

	log.info('endpoints were asked for a successor', {group, byTime, candidates: all.map(({endpointId, leaving, status}) => ({endpointId, leaving, ...status}))});
	// Checked after the fences are set: a host that rewrites the record for the primary in a store that is restored later finds them.
	if (!await isStillStored(parts, changing, giveUpAt)) {
		log.warn('the record of a change is no longer stored', {group, epoch: changing.epoch});
		abandonChange(parts, group);
		return false;
	}

	const proven = await findSuccessors(parts, {
		changing, before, planned, byTime, all, revocation,
	}, giveUpAt);
	if (!proven) {
		abandonChange(parts, group);
		return false;
	}

	const {candidates, former} = proven;
	mark();
	const {getSuccessorDistance} = parts;
	const getDistance = getSuccessorDistance && ((endpointId: string) => getSuccessorDistance(endpointId, revocation.demand, before.primaryId, elapsedClock.elapsed()));
	if (getDistance) {
		log.info('candidates are ranked by the demand of callers', {
			group, demand: Object.fromEntries(revocation.demand), distances: Object.fromEntries(candidates.map(({endpointId}) => [endpointId, getDistance(endpointId)])),
		});
	}

	const leading = await promoteBestCandidate(parts, {candidates, former, getDistance}, before, giveUpAt);
	mark();
	if (!leading) {
		log.warn('no endpoint could be promoted', {group, epoch: changing.epoch, candidates: candidates.map(({endpointId, status}) => ({endpointId, ...status}))});
		return false;
	}

	const {awaited: _, required: __, ...settled} = proven.changing;
	const steady = await updateRecord(parts, {
		...settled,
		primaryId: leading.endpointId,
		term: leading.status.term,
		phase: LeadershipPhase.Steady,
		start: leading.endpointId === before.primaryId && leading.status.term === before.term ? before.start : leading.status.received,
	}, proven.changing.version, giveUpAt);
	mark();
	restoreReplicas(parts, leading, before);
	if (!steady) {
		return false;
	}

	notifyOtherHosts(parts);
	await Promise.all(revocation.silent.map(async host => parts.unresponsiveHosts.mark(host)));
	const [markMs, revokeMs, chooseMs, promoteMs, settleMs] = marks.slice(1).map((at, i) => Math.round(at - marks[i]!)) as [number, number, number, number, number];
	const times = {
		markMs, revokeMs, chooseMs, promoteMs, settleMs,
	};
	log.info('a group has a primary again', {
		group, primary: leading.endpointId, term: leading.status.term, epoch: steady.epoch, start: leading.status.received, ...times,
	});
	parts.onReplaced(group, times);
	return true;
}

type AskedEndpoints = {
	readonly changing: Versioned<LeadershipRecord>;
	readonly before: LeadershipRecord;
	readonly planned: boolean;
	/** Whether leases may have ended only by expiring. */
	readonly byTime: boolean;
	/** The endpoints that were fenced, or that are primary. */
	readonly all: readonly SuccessorCandidate[];
	readonly revocation: LeaseRevocation;
};

/** Finds the endpoints that may be promoted, once all leases have ended; resolves to undefined if none is proven to hold every acknowledged commit. */
async function findSuccessors(parts: ReplacePrimaryParts, {changing, before, planned, byTime, all, revocation}: AskedEndpoints, until: number) {
	const isFormer = ({endpointId}: SuccessorCandidate) => planned && endpointId === before.primaryId;
	const others = all.filter(candidate => !isFormer(candidate));
	const fenced = byTime ? await keepFenced(parts, others, before) : others;
	if (getSyncReplicas(parts, before) === 0 || (byTime && fenced.length === 0)) {
		return {changing, candidates: fenced, former: all.filter(candidate => isFormer(candidate))};
	}

	const proven = await gatherProvenSuccessors(parts, {
		changing,
		before,
		silentId: planned ? undefined : before.primaryId,
		unfenced: new Set(others.filter(candidate => !fenced.includes(candidate)).map(({endpointId}) => endpointId)),
		acknowledgedEnd: revocation.acknowledgedEnd,
		exceeded: revocation.exceeded,
	}, until);
	return proven && {
		changing: proven.changing,
		candidates: proven.candidates.filter(candidate => !isFormer(candidate)),
		former: proven.candidates.filter(candidate => isFormer(candidate)),
	};
}

/** Abandons a change whose record is lost. If another host is changing the group by now, that host lifts the fences. */
function abandonChange(parts: ReplacePrimaryParts, group: string) {
	const record = parts.mirror.state.leadership.get(group);
	if (record?.phase === LeadershipPhase.Steady) {
		liftFences(parts, group, record.primaryId);
	}
}
