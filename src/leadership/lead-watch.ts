import {setImmediate as nextTurn} from 'node:timers/promises';
import {Suspicion} from '../links/endpoint-health.js';
import type {EndpointDirectory} from '../links/endpoint-directory.js';
import {EndpointRole} from '../links/endpoint-link.js';
import type {EndpointPool} from '../links/endpoint-pool.js';
import {LinkError} from '../links/link-errors.js';
import type {Log} from '../log/log.js';
import {RecordKind, type MetadataStore} from '../mirror/metadata-store.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Random} from '../random/random.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {DUTY_LEASE_MS, type DutyLease} from './duty-lease.js';
import {LEAD_CALL_TIMEOUT_MS} from './lead-calls.js';
import type {LeadEvidences} from './lead-evidence.js';
import {getLeadershipName, LeadPhase, type LeadershipRecord} from './leadership-record.js';
import type {PrimaryWork} from './primary-work.js';
import type {Replacement} from './replace-primary.js';

/** Watches the primaries of all groups and has lost or leaving ones replaced. */
export type LeadWatch = {
	/** Groups that this host is changing. */
	getChanging(): readonly string[];
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What the watch needs. */
export type LeadWatchOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly evidences: LeadEvidences;
	readonly primaryWork: PrimaryWork;
	readonly duty: DutyLease;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
	readonly hostName: string;
	readonly ownPeerAddress: string;
	replace(replacement: Replacement): Promise<boolean>;
};

/** How often primaries are looked at, in milliseconds: a twentieth of a promotion, for some microseconds each. */
const LOOK_MS = 50;

/** Longest probe of a primary that seems lost, in milliseconds. */
const PROBE_TIMEOUT_MS = 250;

/** A primary that was not heard for so long is asked for a sign of life, in milliseconds, so that its loss is noticed before a caller meets it. */
const QUIET_MS = 1000;

/** Hosts wait a random part of this before they act on what several of them see, in milliseconds; most of them then find it done. */
const SPREAD_MS = 60;

/** Without the opinion of most hosts a primary counts as lost only after so long, in milliseconds: longer than hosts take to be back, or a cut usually lasts. */
const ALONE_AFTER_MS = 8000;

/** Each host gives the one before it this long to write a group's first record, in milliseconds: a status, an update and a confirmation. */
const FIRST_RECORD_STEP_MS = 300;

/** After a replacement that came to nothing the group is left alone for so long, in milliseconds. */
const PAUSE_MS = 400;

/** A change that makes no progress for so long has lost the host that made it, in milliseconds. */
const STALLED_AFTER_MS = DUTY_LEASE_MS + 400;

/** Endpoints are asked for fences once evidence is so old, in milliseconds: two confirmations that did not come. */
const FENCES_AFTER_MS = 1600;

/** Pause between such questions, in milliseconds: three fit into what is left of the evidence. */
const FENCES_INTERVAL_MS = 400;

/** Longest such question, in milliseconds: a status waits for a slot behind other statements. */
const FENCES_TIMEOUT_MS = 800;

const STORE_TIMEOUT_MS = 900;

type GroupWatch = {
	busy: boolean;
	suspectedSince?: number;
	notBefore: number;
	/** Steady time before which endpoints are not asked for fences again. */
	fencesNotBefore: number;
	seenVersion: number;
	seenSince: number;
};

/** Creates the watch. */
export function createLeadWatch(options: LeadWatchOptions): LeadWatch {
	const {clock, directory, duty, elapsedClock, evidences, mirror, peers, random, store} = options;
	const log = options.log.part('leads: ');
	const watches = new Map<string, GroupWatch>();
	const changing = new Set<string>();
	const stopping = new AbortController();

	const noteBug = (err: unknown) => {
		log.error('a task failed', {err});
	};

	const getWatch = (group: string) => {
		const known = watches.get(group);
		if (known) {
			return known;
		}

		const watch: GroupWatch = {
			busy: false, notBefore: 0, fencesNotBefore: 0, seenVersion: 0, seenSince: 0,
		};
		watches.set(group, watch);
		return watch;
	};

	/** Whether the endpoint answers this host, asked anew. */
	const probe = async (endpointId: string): Promise<boolean> => {
		const endpoint = directory.get(endpointId);
		if (!endpoint) {
			return false;
		}

		try {
			const askedAt = clock.now();
			await withinMs(clock, PROBE_TIMEOUT_MS, endpoint.pool.ask({kind: 'status'}, PROBE_TIMEOUT_MS));
			return (endpoint.pool.health.heardAt ?? 0) >= askedAt;
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			// Refused for want of a free connection is a sign of life as well.
			return endpoint.pool.health.getSuspicion(clock.now()) === undefined;
		}
	};

	const isReachable = async (endpointId: string) => {
		const health = directory.get(endpointId)?.pool.health;
		if (health?.getSuspicion(clock.now()) === Suspicion.Silent) {
			// It owes this host an answer for long already; a probe would only add to the gap.
			return false;
		}

		const heardLately = health?.heardAt !== undefined && clock.now() - health.heardAt < LOOK_MS;
		return heardLately || probe(endpointId);
	};

	/**
	 * Guards against deposing a healthy primary for the sake of one host that is cut off from it: of the hosts that
	 * answer, at least half must not reach it either, and most hosts must answer: a part of the hosts that is cut off
	 * from the rest would else take the primary from those who use it.
	 */
	const isLostToMost = async (group: string, endpointId: string, suspectedMs: number) => {
		const others = mirror.state.hosts.filter(host => host.peerAddress !== options.ownPeerAddress && !host.gone);
		const opinions = await Promise.all(others.map(async host => askOpinion(host.peerAddress, endpointId)));
		const known = opinions.filter(opinion => opinion !== undefined);
		const against = 1 + known.filter(opinion => !opinion).length;
		const asked = known.length + 1;
		const enough = asked * 2 > others.length + 1 || suspectedMs > ALONE_AFTER_MS;
		log.info('hosts were asked about a primary', {
			group, endpoint: endpointId, against, answered: asked, hosts: others.length + 1, suspectedMs: Math.round(suspectedMs),
		});
		return enough && against * 2 >= asked;
	};

	const askOpinion = async (address: string, endpointId: string) => {
		try {
			const {reachable} = await peers.call(address, 'lead-opinion', {endpointId}, LEAD_CALL_TIMEOUT_MS);
			return reachable;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			return undefined;
		}
	};

	const replace = async (replacement: Replacement): Promise<boolean> => {
		const {group} = replacement;
		if (changing.has(group)) {
			return true;
		}

		changing.add(group);
		try {
			return await options.replace(replacement);
		} finally {
			changing.delete(group);
		}
	};

	/** Replaces, or has the holder of the duty do it. */
	const replaceOrAsk = async (replacement: Replacement, epoch: number) => {
		const holder = duty.getOtherHolder();
		getWatch(replacement.group).notBefore = clock.now() + PAUSE_MS;
		const host = holder === undefined ? undefined : mirror.state.hosts.find(({name}) => name === holder);
		if (host && host.peerAddress !== options.ownPeerAddress) {
			try {
				const {taken} = await peers.call(host.peerAddress, 'lead-replace', {group: replacement.group, epoch, reason: replacement.reason}, LEAD_CALL_TIMEOUT_MS);
				log.info('the holder of the duty was asked to replace a primary', {group: replacement.group, holder, taken});
				return;
			} catch (err) {
				if (!isPeerError(err)) {
					throw err;
				}

				log.info('the holder of the duty does not answer', {group: replacement.group, holder, reason: err.message});
				return;
			}
		}

		await replace(replacement);
	};

	/** Hosts go in the order of their names, so that the first record of a group costs one update and not one of each host. */
	const createFirstRecord = async (group: string) => {
		const names = mirror.state.hosts.map(({name}) => name).toSorted();
		const rank = names.indexOf(options.hostName);
		if (rank === -1) {
			return;
		}

		await clock.sleep(rank * FIRST_RECORD_STEP_MS);
		if (mirror.state.leadership.has(group)) {
			return;
		}

		const leaders = directory.list(group).filter(({entry}) => entry.claimsLead && !entry.leaving);
		const leader = leaders[0];
		if (!leader || leaders.length > 1) {
			return;
		}

		const status = await leader.pool.ask({kind: 'status'}, STORE_TIMEOUT_MS);
		const record: LeadershipRecord = {
			group, primaryId: leader.entry.id, term: status.term, epoch: 1, phase: LeadPhase.Steady, start: status.received, changedBy: options.hostName,
		};
		await store.putRecord(RecordKind.Leadership, {name: getLeadershipName(group), version: 0, value: record}, STORE_TIMEOUT_MS);
		log.info('a group is led for the first time', {group, primary: record.primaryId, term: record.term});
		await mirror.confirm();
	};

	const lookAtSteady = async (record: LeadershipRecord, watch: GroupWatch) => {
		const {group, primaryId, epoch} = record;
		const endpoint = directory.get(primaryId);
		if (!endpoint) {
			// Its entry has been missing for longer than the store's own troubles explain.
			await spread();
			await replaceOrAsk({group, reason: 'the primary is no longer registered', planned: false}, epoch);
			return;
		}

		const now = clock.now();
		const {health} = endpoint.pool;
		if (endpoint.entry.leaving) {
			if (hasSuccessor(group, primaryId)) {
				await spread();
				await replaceOrAsk({group, reason: 'the primary is leaving', planned: true}, epoch);
			}

			return;
		}

		if (!health.getSuspicion(now)) {
			watch.suspectedSince = undefined;
			if (health.heardAt !== undefined && now - health.heardAt > QUIET_MS) {
				await probe(primaryId);
			}

			return;
		}

		// What is already here but not yet read must not count as silence: this host may just have been held up itself.
		await nextTurn();
		const suspicion = health.getSuspicion(clock.now());
		if (!suspicion) {
			return;
		}

		if (watch.suspectedSince === undefined) {
			watch.suspectedSince = now;
			log.warn('a primary seems lost', {
				group, endpoint: primaryId, suspicion, epoch, heardAgoMs: health.heardAt === undefined ? undefined : Math.round(now - health.heardAt),
			});
		}

		const [answers, lostToMost] = await Promise.all([probe(primaryId), isLostToMost(group, primaryId, clock.now() - watch.suspectedSince)]);
		if (answers || !lostToMost) {
			return;
		}

		await spread();
		if (isCurrent(record)) {
			await replaceOrAsk({group, reason: `the primary is ${suspicion}`, planned: false}, epoch);
		}
	};

	const hasSuccessor = (group: string, primaryId: string) => directory.list(group).some(({entry, pool}) =>
		entry.id !== primaryId && !entry.leaving && !pool.health.getSuspicion(clock.now()));

	const spread = async () => clock.sleep(random.fraction() * SPREAD_MS);

	const isCurrent = ({group, epoch}: LeadershipRecord) => mirror.state.leadership.get(group)?.epoch === epoch && evidences.get(group, elapsedClock.elapsed()) !== undefined;

	/** A change whose host died half way is gone on with by another. */
	const lookAtChanging = async (record: LeadershipRecord & {readonly version: number}, watch: GroupWatch) => {
		const now = elapsedClock.elapsed();
		if (watch.seenVersion !== record.version) {
			watch.seenVersion = record.version;
			watch.seenSince = now;
		}

		const isOwn = record.changedBy === options.hostName;
		const waitMs = isOwn ? PAUSE_MS : STALLED_AFTER_MS;
		if (now - watch.seenSince > waitMs && duty.getOtherHolder() === undefined) {
			await spread();
			await replace({group: record.group, reason: 'an earlier change was not finished', planned: false});
		}
	};

	/**
	 * Guards calm traffic where neither the store nor a peer confirms, as in an outage of the store with a host that is dead. Whoever
	 * promotes an endpoint without this host's word has fenced it first, and has waited from then on for as long as evidence lasts.
	 * So where every endpoint that could be promoted shows no fence, nobody's wait had begun at the time of asking.
	 */
	const lookForFences = async (record: LeadershipRecord, watch: GroupWatch) => {
		const askedAt = elapsedClock.elapsed();
		const age = askedAt - (evidences.getAskedAt(record.group) ?? askedAt);
		if (age < FENCES_AFTER_MS || clock.now() < watch.fencesNotBefore) {
			return;
		}

		watch.fencesNotBefore = clock.now() + FENCES_INTERVAL_MS;
		const others = directory.list(record.group).filter(({entry}) => entry.id !== record.primaryId);
		const answers = await Promise.all(others.map(async ({pool}) => isUnfenced(pool, record.term)));
		const unfenced = others.length > 0 && answers.every(Boolean);
		if (unfenced) {
			evidences.noteUnfenced(record.group, record.epoch, askedAt);
		}

		log.info('endpoints were asked for fences, since the store does not confirm', {
			group: record.group, epoch: record.epoch, asked: others.length, unfenced, ageMs: Math.round(age),
		});
	};

	const isUnfenced = async (pool: EndpointPool, term: number) => {
		try {
			const bounded = await withinMs(clock, FENCES_TIMEOUT_MS, pool.ask({kind: 'status'}, FENCES_TIMEOUT_MS));
			return !bounded.timedOut && bounded.value.role === EndpointRole.Replica && bounded.value.fencedTerm <= term && bounded.value.term <= term;
		} catch (err) {
			if (!(err instanceof LinkError)) {
				throw err;
			}

			return false;
		}
	};

	const look = async (group: string, watch: GroupWatch) => {
		const record = mirror.state.leadership.get(group);
		if (!record) {
			await createFirstRecord(group);
		} else if (record.phase === LeadPhase.Changing) {
			await lookAtChanging(record, watch);
		} else {
			await Promise.all([lookAtSteady(record, watch), lookForFences(record, watch)]);
		}
	};

	const lookSafely = async (group: string) => {
		const watch = getWatch(group);
		if (watch.busy || clock.now() < watch.notBefore || changing.has(group)) {
			return;
		}

		watch.busy = true;
		const epoch = mirror.state.leadership.get(group)?.epoch;
		try {
			await look(group, watch);
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError || err instanceof LinkError)) {
				throw err;
			}

			log.info('a look at a group was cut short', {group, reason: err.message});
			watch.notBefore = clock.now() + PAUSE_MS;
		} finally {
			watch.busy = false;
			if (mirror.state.leadership.get(group)?.epoch !== epoch) {
				watch.notBefore = clock.now() + PAUSE_MS;
			}
		}
	};

	peers.handle('lead-opinion', async ({endpointId}) => ({reachable: await isReachable(endpointId)}));
	peers.handle('lead-revoke', async ({group, epoch, settleMs}) => {
		evidences.pause(group, epoch);
		await options.primaryWork.settle(group, settleMs);
		evidences.revoke(group, epoch);
		log.info('evidence was given up', {group, epoch, settleMs});
		return {revoked: true as const};
	});
	peers.handle('lead-changed', async (_req, from) => {
		void mirror.confirmBy(from.address);
		return {heard: true as const};
	});
	peers.handle('lead-replace', async ({group, epoch, reason}) => {
		const record = mirror.state.leadership.get(group);
		if (record?.epoch !== epoch || record.phase !== LeadPhase.Steady) {
			return {taken: false};
		}

		(async () => {
			// Most hosts cannot reach it. Where this one can, its log is taken over whole.
			const planned = await isReachable(record.primaryId);
			await replace({group, reason, planned});
		})().catch(noteBug);
		return {taken: true};
	});

	const run = async () => {
		while (!stopping.signal.aborted) {
			directory.update(clock.now());
			for (const group of mirror.state.routing?.groups.keys() ?? []) {
				lookSafely(group).catch(noteBug);
			}

			await clock.sleep(LOOK_MS, stopping.signal);
		}
	};

	return {
		getChanging: () => [...changing],
		async start() {
			void run();
		},
		async stop() {
			stopping.abort();
		},
	};
}
