import {getGeneration, getNextInGeneration} from '../mirror/store-generation.js';
import {LEAD_CALL_TIMEOUT_MS} from './lead-calls.js';
import {EVIDENCE_MS} from './lead-evidence.js';
import {isAffirmed, LeadPhase} from './leadership-record.js';
import {
	cleanUp, gatherCandidates, keepFenced, liftFences, waitForCatchUp,
} from './ask-endpoints.js';
import {createEvidenceEnd} from './evidence-end.js';
import {promoteBest} from './promote-best.js';
import {ORDER_EFFECT_MS} from './promotion-orders.js';
import type {ReplacePrimaryParts} from './replace-parts.js';
import {isStillStored, updateRecord} from './update-record.js';

/** Why a primary is replaced. */
export type Replacement = {
	readonly group: string;
	readonly reason: string;
	/** The primary still serves: work under way may end, and its log must be whole at the successor. */
	readonly planned: boolean;
};

/** Beyond the time that evidence lasts, in milliseconds: the clocks differ in rate. */
const EVIDENCE_MARGIN_MS = 150;

/** In a planned change transactions under way get this long to end, in milliseconds, while new work waits. */
const PLANNED_SETTLE_MS = 600;

/** How often the duty is renewed while a primary is replaced, in milliseconds: three tries within the lease. */
const RENEW_MS = 1000;

/** The whole is given up after so long, in milliseconds; the record then says that the group is changing, and the next host goes on. */
const GIVE_UP_MS = 12_000;

/**
 * Replaces the primary of a group; true once the store shows a steady primary again.
 *
 * The order of steps is what keeps acknowledged commits and fresh reads safe: first the record says that the group is
 * changing, so that no host can get evidence of the old primary any more; then every host gives its evidence up, or
 * the time that evidence lasts passes; only then is anything promoted.
 */
export async function replacePrimary(outerParts: ReplacePrimaryParts, replacement: Replacement): Promise<boolean> {
	const parts = {...outerParts, log: outerParts.log.part('replace: ')};
	if (!await parts.duty.take()) {
		return false;
	}

	const ended = new AbortController();
	void keepDuty(parts, ended.signal);
	try {
		return await replaceUnderDuty(parts, replacement);
	} finally {
		ended.abort();
	}
}

/** Renews the duty: the wait for the end of evidence is as long as the duty lasts. */
async function keepDuty({duty, clock}: ReplacePrimaryParts, ended: AbortSignal) {
	for (;;) {
		await clock.sleep(RENEW_MS, ended);
		if (ended.aborted || !await duty.take()) {
			return;
		}
	}
}

async function replaceUnderDuty(parts: ReplacePrimaryParts, replacement: Replacement): Promise<boolean> {
	const {clock, elapsedClock, log, mirror} = parts;
	const {group, planned, reason} = replacement;
	const giveUpAt = clock.now() + GIVE_UP_MS;
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
	// One of an earlier generation may be out of date: another primary may have been promoted since, as in a change that nobody finished.
	const before = isAffirmed(held, revision) ? held : {...held, phase: LeadPhase.Changing};

	log.info('a primary is replaced', {
		group, reason, planned, primary: before.primaryId, epoch: before.epoch, term: before.term, version: before.version,
	});
	const changing = await updateRecord(parts, {
		...before, epoch: getNextInGeneration(generation, before.epoch), phase: LeadPhase.Changing, changedBy: parts.hostName, generation,
	}, before.version, giveUpAt);
	if (!changing) {
		log.info('another host changed the record first', {group, epoch: before.epoch});
		return false;
	}

	// Evidence read before the record was updated is at most as old as the answer to the update.
	const markedAt = elapsedClock.elapsed();
	mark();
	const evidence = createEvidenceEnd(parts, changing, planned ? PLANNED_SETTLE_MS : 0);
	if (planned) {
		await evidence.ask();
		await waitForCatchUp(parts, before);
	}

	const fence = async () => {
		const found = await gatherCandidates(parts, group, {kind: 'fence', term: before.term + 1}, planned ? undefined : before.primaryId);
		return {all: found, fencedAt: elapsedClock.elapsed()};
	};

	// Counted from the fences and not from the answers of the hosts: one that does not answer would lengthen the gap by 800 ms, its timeout in each round.
	const [{all, fencedAt}] = await Promise.all([fence(), evidence.ask()]);
	const byTime = await evidence.wait(Math.max(markedAt, fencedAt) + EVIDENCE_MS + EVIDENCE_MARGIN_MS);
	mark();
	if (before.phase === LeadPhase.Changing) {
		// Another host may have given an order before it died.
		await clock.sleep(markedAt + ORDER_EFFECT_MS - elapsedClock.elapsed());
	}

	log.info('endpoints were asked for a successor', {group, byTime, candidates: all.map(({endpointId, leaving, status}) => ({endpointId, leaving, ...status}))});
	const former = planned ? all.filter(({endpointId}) => endpointId === before.primaryId) : [];
	const others = all.filter(candidate => !former.includes(candidate));
	// After the fences: a host that vouches for the primary in a store that came back later would find them.
	if (!await isStillStored(parts, changing, giveUpAt)) {
		log.warn('the record of a change is no longer stored', {group, epoch: changing.epoch});
		leaveToOthers(parts, group);
		return false;
	}

	const candidates = byTime ? await keepFenced(parts, others, before) : others;
	mark();
	const leading = await promoteBest(parts, {candidates, former}, before, giveUpAt);
	mark();
	if (!leading) {
		log.warn('no endpoint could be promoted', {group, epoch: changing.epoch, candidates: candidates.map(({endpointId, status}) => ({endpointId, ...status}))});
		return false;
	}

	const steady = await updateRecord(parts, {
		...changing,
		primaryId: leading.endpointId,
		term: leading.status.term,
		phase: LeadPhase.Steady,
		start: leading.endpointId === before.primaryId && leading.status.term === before.term ? before.start : leading.status.received,
	}, changing.version, giveUpAt);
	mark();
	cleanUp(parts, leading, before);
	if (!steady) {
		return false;
	}

	await tellEverywhere(parts, group);
	await Promise.all(evidence.silent.map(async host => parts.gone.markGone(host)));
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

/** Gives a change up whose record is lost; another host that changes the group by now lifts the fences itself. */
function leaveToOthers(parts: ReplacePrimaryParts, group: string) {
	const record = parts.mirror.state.leadership.get(group);
	if (record?.phase === LeadPhase.Steady) {
		liftFences(parts, group, record.primaryId);
	}
}

/** Tells the other hosts that there is something new to ask for. */
async function tellEverywhere({mirror, peers, ownPeerAddress}: ReplacePrimaryParts, group: string) {
	for (const host of mirror.state.hosts) {
		if (host.peerAddress !== ownPeerAddress) {
			peers.call(host.peerAddress, 'lead-changed', {group}, LEAD_CALL_TIMEOUT_MS).catch(ignoreUnheard);
		}
	}
}

/** A host that does not hear of a change finds it with its next confirmation. */
function ignoreUnheard(): void {} // eslint-disable-line @typescript-eslint/no-empty-function

