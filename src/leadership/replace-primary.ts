import type {EndpointDirectory, KnownEndpoint} from '../links/endpoint-directory.js';
import {EndpointRole, type EndpointCommand, type EndpointStatus} from '../links/endpoint-link.js';
import {LinkError} from '../links/link-errors.js';
import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import type {Versioned} from '../mirror/mirror-state.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {Peers} from '../peers/peers.js';
import {isPeerError} from '../peers/peer-errors.js';
import {holdsLogPosition} from '../terms/log-position.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {
	getLeastTerm, isNeverReplaced, rankSuccessors, type SuccessorCandidate,
} from './choose-successor.js';
import type {DutyLease} from './duty-lease.js';
import type {GoneHosts} from './gone-hosts.js';
import {LEAD_CALL_TIMEOUT_MS} from './lead-calls.js';
import {EVIDENCE_MS, type LeadEvidences} from './lead-evidence.js';
import {
	getLeadershipName, LeadPhase, type HostRecord, type LeadershipRecord,
} from './leadership-record.js';
import type {PrimaryWork} from './primary-work.js';
import {OrderOutcome, type PromotionOrders} from './promotion-orders.js';

/** What replacing a primary needs. */
export type ReplacePrimaryParts = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly evidences: LeadEvidences;
	readonly primaryWork: PrimaryWork;
	readonly duty: DutyLease;
	readonly gone: GoneHosts;
	readonly orders: PromotionOrders;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly hostName: string;
	readonly ownPeerAddress: string;
	/** Told how long each part took, in milliseconds. */
	onReplaced(group: string, parts: ReplacementTimes): void;
};

/** Parts of a replacement, in milliseconds. */
export type ReplacementTimes = {
	readonly markMs: number;
	readonly revokeMs: number;
	readonly chooseMs: number;
	readonly promoteMs: number;
	readonly settleMs: number;
};

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

/** Longest question to an endpoint, in milliseconds: a status waits for a slot behind statements of 60 ms at most. */
const STATUS_TIMEOUT_MS = 500;

/** A primary that is being replaced for its silence may answer so much later than the others, in milliseconds. */
const SILENT_EXTRA_MS = 30;

/** Longest order to promote, in milliseconds; usually answered after 13. */
const ORDER_TIMEOUT_MS = 600;

/** How often the duty is renewed while a primary is replaced, in milliseconds: three tries within the lease. */
const RENEW_MS = 1000;

/** How often a promoted endpoint is asked whether it leads by now, in milliseconds; it takes 600 to 1,000. */
const PROMOTED_POLL_MS = 40;

/** A promotion that shows no effect for so long is ordered anew, in milliseconds: three times the longest seen. */
const PROMOTED_WITHIN_MS = 3000;

/**
 * An order that another host gave before it died shows its effect within this time, in milliseconds. Before that, the
 * former primary may say that it leads while another is about to.
 */
const FORMER_ORDER_MS = 1500;

/** Longest wait for a successor to hold all of a primary that still serves, in milliseconds. */
const CATCH_UP_MS = 1500;

/** Pause before something that brought no answer is tried again, in milliseconds. */
const RETRY_MS = 100;

/** The whole is given up after so long, in milliseconds; the record then says that the group is changing, and the next host goes on. */
const GIVE_UP_MS = 12_000;

/** An endpoint is let go at least so often, with a pause in milliseconds between: one that is cut off for 5 s is still reached. */
const UNFENCE_TRIES = 8;
const UNFENCE_PAUSE_MS = 700;

const STORE_TIMEOUT_MS = 900;

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

	const before = mirror.state.leadership.get(group);
	if (!before) {
		return false;
	}

	log.info('a primary is replaced', {
		group, reason, planned, primary: before.primaryId, epoch: before.epoch, term: before.term, version: before.version,
	});
	const changing = await updateRecord(parts, {
		...before, epoch: before.epoch + 1, phase: LeadPhase.Changing, changedBy: parts.hostName,
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

	const fencing = gatherCandidates(parts, group, {kind: 'fence', term: before.term + 1}, planned ? undefined : before.primaryId);
	await Promise.all([fencing, evidence.ask()]);
	const all = await fencing;
	const byTime = await evidence.wait(Math.max(markedAt, elapsedClock.elapsed()) + EVIDENCE_MS + EVIDENCE_MARGIN_MS);
	mark();
	if (before.phase === LeadPhase.Changing) {
		await clock.sleep(FORMER_ORDER_MS);
	}

	log.info('endpoints were asked for a successor', {group, byTime, candidates: all.map(({endpointId, leaving, status}) => ({endpointId, leaving, ...status}))});
	const former = planned ? all.filter(({endpointId}) => endpointId === before.primaryId) : [];
	const others = all.filter(candidate => !former.includes(candidate));
	const candidates = byTime ? await keepFenced(parts, others, before) : others;
	mark();
	// Where nothing else can lead, a primary that still serves goes on.
	const leading = await promoteBest(parts, candidates, before, giveUpAt) ?? await promoteBest(parts, former, before, giveUpAt);
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

/** Writes a group's record under its condition, again and again until it is known whether that took effect; undefined where it did not. */
async function updateRecord({store, mirror, clock, log}: ReplacePrimaryParts, record: LeadershipRecord, version: number, until: number): Promise<Versioned<LeadershipRecord> | undefined> {
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

/** A conflict may be with this host's own update, the answer to which was lost. */
async function findOwnUpdate(mirror: StoreMirror, record: LeadershipRecord) {
	await mirror.confirm();
	const found = mirror.state.leadership.get(record.group);
	const isOwn = found?.changedBy === record.changedBy && found.epoch === record.epoch && found.phase === record.phase && found.primaryId === record.primaryId;
	return isOwn ? found : undefined;
}

/** The end of all evidence below a record's epoch. */
type EvidenceEnd = {
	/** Hosts that did not answer yet. */
	readonly silent: ReadonlyArray<Versioned<HostRecord>>;
	/** Asks the hosts that did not answer yet to give up their evidence, this one among them. */
	ask(): Promise<void>;
	/** Asks until all have answered, at the latest until the elapsed time `endsAt`; true where evidence may have ended by its time alone. */
	wait(endsAt: number): Promise<boolean>;
};

/**
 * Has every host give up its evidence below the record's epoch. A host that does not answer may be dead, or cut off
 * and still serving: its evidence ends by its time, and until then it is asked again.
 */
function createEvidenceEnd(parts: ReplacePrimaryParts, changing: Versioned<LeadershipRecord>, settleMs: number): EvidenceEnd {
	const {clock, elapsedClock, evidences, primaryWork, log} = parts;
	const {group, epoch} = changing;
	let hosts: ReadonlyArray<Versioned<HostRecord>> | undefined;
	let silent: ReadonlyArray<Versioned<HostRecord>> = [];
	let ownGivenUp = false;

	const giveUpOwn = async () => {
		evidences.pause(group, epoch);
		await primaryWork.settle(group, settleMs);
		evidences.revoke(group, epoch);
		ownGivenUp = true;
	};

	const askOne = async (host: Versioned<HostRecord>) => {
		try {
			await parts.peers.call(host.peerAddress, 'lead-revoke', {group, epoch, settleMs}, settleMs + LEAD_CALL_TIMEOUT_MS);
			return undefined;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return host;
		}
	};

	const askOthers = async () => {
		if (!hosts) {
			hosts = await listOtherHosts(parts);
			silent = hosts?.filter(host => !host.gone) ?? [];
		}

		const answers = await Promise.all(silent.map(async host => askOne(host)));
		silent = answers.filter(host => host !== undefined);
	};

	const ask = async () => {
		await Promise.all([askOthers(), ownGivenUp ? undefined : giveUpOwn()]);
	};

	return {
		get silent() {
			return silent;
		},
		ask,
		async wait(endsAt) {
			while ((!hosts || silent.length > 0) && elapsedClock.elapsed() < endsAt) {
				await clock.sleep(RETRY_MS);
				await ask();
			}

			// A host that is marked as gone is not asked; it may live and hold evidence.
			const hasGone = hosts?.some(host => host.gone) ?? true;
			const byTime = silent.length > 0 || hasGone;
			while (byTime && elapsedClock.elapsed() < endsAt) {
				await clock.sleep(Math.min(RETRY_MS, endsAt - elapsedClock.elapsed()));
			}

			log.info('evidence is over on every host', {
				group, epoch, hosts: hosts?.length, silent: silent.map(({name}) => name), byTime,
			});
			return byTime;
		},
	};
}

/**
 * Leaves out candidates whose fence is gone.
 *
 * Guards against a host that was not reached and holds evidence from the endpoints themselves, none of which had shown it a
 * fence: an endpoint that restarted after it was fenced shows none again, so what that host saw there may be younger than
 * the time that was waited for. Such an endpoint is no candidate in this replacement.
 */
async function keepFenced(parts: ReplacePrimaryParts, candidates: readonly SuccessorCandidate[], before: LeadershipRecord): Promise<readonly SuccessorCandidate[]> {
	const now = await gatherCandidates(parts, before.group, {kind: 'status'});
	return candidates.filter(({endpointId, status}) => status.role === EndpointRole.Primary
		|| now.some(other => other.endpointId === endpointId && other.status.fencedTerm > before.term));
}

/** The other hosts as registered after the record was updated; undefined where the store does not say. */
async function listOtherHosts({mirror, ownPeerAddress}: ReplacePrimaryParts) {
	return await mirror.confirm() ? mirror.state.hosts.filter(host => host.peerAddress !== ownPeerAddress) : undefined;
}

/**
 * Asks every endpoint of a group; those that do not answer are left out. A primary that is being replaced for its silence would hold up
 * the others for the whole timeout, 500 ms of a gap of 2,600 as measured: it gets little longer than they took.
 */
async function gatherCandidates(parts: ReplacePrimaryParts, group: string, command: EndpointCommand, silentId?: string): Promise<readonly SuccessorCandidate[]> {
	const ask = async (endpoint: KnownEndpoint): Promise<SuccessorCandidate | undefined> => {
		const status = await askStatus(parts, endpoint, command);
		return status && {endpointId: endpoint.entry.id, leaving: endpoint.entry.leaving, status};
	};

	const endpoints = parts.directory.list(group);
	const silent = endpoints.find(({entry}) => entry.id === silentId);
	const askedSilent = silent && ask(silent);
	const answers = await Promise.all(endpoints.filter(endpoint => endpoint !== silent).map(async endpoint => ask(endpoint)));
	const late = askedSilent && await withinMs(parts.clock, SILENT_EXTRA_MS, askedSilent);
	return [...answers, late?.timedOut === false ? late.value : undefined].filter(candidate => candidate !== undefined);
}

async function askStatus({clock}: ReplacePrimaryParts, {pool}: KnownEndpoint, command: EndpointCommand): Promise<EndpointStatus | undefined> {
	try {
		const bounded = await withinMs(clock, STATUS_TIMEOUT_MS, pool.ask(command, STATUS_TIMEOUT_MS));
		return bounded.timedOut ? undefined : bounded.value;
	} catch (err) {
		if (!(err instanceof LinkError)) {
			throw err;
		}

		return undefined;
	}
}

/** Waits until an endpoint other than the primary holds all of its log, which no longer grows; at most for a bounded time. */
async function waitForCatchUp(parts: ReplacePrimaryParts, before: LeadershipRecord): Promise<void> {
	const until = parts.clock.now() + CATCH_UP_MS;
	for (;;) {
		const all = await gatherCandidates(parts, before.group, {kind: 'status'});
		const primary = all.find(({endpointId}) => endpointId === before.primaryId);
		const caughtUp = all.some(({endpointId, leaving, status}) => endpointId !== before.primaryId && !leaving
			&& (!primary || holdsLogPosition(status.received, primary.status.received)));
		if (caughtUp || parts.clock.now() >= until) {
			return;
		}

		await parts.clock.sleep(PROMOTED_POLL_MS);
	}
}

/** Promotes the best candidate that runs, and waits until it leads. */
async function promoteBest(parts: ReplacePrimaryParts, candidates: readonly SuccessorCandidate[], before: LeadershipRecord, until: number): Promise<SuccessorCandidate | undefined> {
	const {log} = parts;
	const ranked = [...rankSuccessors(candidates, before)];
	while (ranked.length > 0 && parts.clock.now() < until) {
		const best = ranked[0]!;
		const outcome = await orderPromotion(parts, before.group, best.endpointId);
		if (outcome === OrderOutcome.NotRunning) {
			ranked.shift();
			continue;
		}

		if (outcome === undefined) {
			log.info('the duty was lost', {group: before.group});
			return undefined;
		}

		if (outcome === OrderOutcome.Refused) {
			await parts.clock.sleep(RETRY_MS);
			continue;
		}

		const status = await waitUntilLeads(parts, best, before);
		if (status) {
			return {...best, status};
		}

		// It may have stopped after the order: the next one is tried before it is tried again.
		ranked.push(ranked.shift()!);
	}

	return undefined;
}

/**
 * Gives the order while the duty outlasts it; undefined where the duty could not be kept.
 *
 * Guards against an order of a former holder that arrives after its successor's: the order is given up, and its
 * connection with it, before the duty can be another's.
 */
async function orderPromotion({duty, orders, log, hostName}: ReplacePrimaryParts, group: string, endpointId: string): Promise<OrderOutcome | undefined> {
	if (duty.getToken(ORDER_TIMEOUT_MS) === undefined && !await duty.take()) {
		return undefined;
	}

	const token = duty.getToken(ORDER_TIMEOUT_MS);
	if (token === undefined) {
		return undefined;
	}

	const outcome = await orders.promote({
		group, endpointId, holder: hostName, token,
	}, ORDER_TIMEOUT_MS);
	log.info('an endpoint was ordered to lead', {
		group, endpoint: endpointId, fence: token, outcome,
	});
	return outcome;
}

/** Waits until the endpoint says that it leads in a term that shows that the order took effect. */
async function waitUntilLeads(parts: ReplacePrimaryParts, candidate: SuccessorCandidate, before: LeadershipRecord): Promise<EndpointStatus | undefined> {
	const until = parts.clock.now() + PROMOTED_WITHIN_MS;
	const leastTerm = getLeastTerm(candidate, before);
	let last: EndpointStatus | undefined;
	while (parts.clock.now() < until) {
		const endpoint = parts.directory.get(candidate.endpointId);
		const status = endpoint && await askStatus(parts, endpoint, {kind: 'status'});
		if (status?.role === EndpointRole.Primary && status.term >= leastTerm) {
			return status;
		}

		last = status ?? last;
		await parts.clock.sleep(PROMOTED_POLL_MS);
	}

	return last && isNeverReplaced(candidate.endpointId, last, before) ? last : undefined;
}

/** Lets the other replicas receive again and makes the former primary one; nothing waits for it. */
function cleanUp(parts: ReplacePrimaryParts, leading: SuccessorCandidate, before: LeadershipRecord) {
	for (const endpoint of parts.directory.list(before.group)) {
		if (endpoint.entry.id !== leading.endpointId) {
			void unfence(parts, endpoint);
		}
	}

	const former = parts.directory.get(before.primaryId);
	if (former && before.primaryId !== leading.endpointId) {
		void askStatus(parts, former, {kind: 'step-down', term: leading.status.term});
	}
}

/** An endpoint left fenced would receive nothing for ever, so it is asked again where no answer came. */
async function unfence(parts: ReplacePrimaryParts, endpoint: KnownEndpoint) {
	for (let i = 0; i < UNFENCE_TRIES; i++) {
		if (await askStatus(parts, endpoint, {kind: 'unfence'})) {
			return;
		}

		await parts.clock.sleep(UNFENCE_PAUSE_MS);
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

