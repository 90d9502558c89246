import {setImmediate as nextTurn} from 'node:timers/promises';
import type {EndpointDirectory} from '../links/endpoint-directory.js';
import {LinkError} from '../links/link-errors.js';
import type {Log} from '../log/log.js';
import type {Lenders} from '../lending/lenders.js';
import type {MetadataStore} from '../mirror/metadata-store.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {CutOffs} from './cut-offs.js';
import type {DutyLease} from './duty-lease.js';
import {createFenceLook} from './fence-look.js';
import type {LeadEvidences} from './lead-evidence.js';
import {createFirstRecord} from './first-record.js';
import {isAffirmed, LeadPhase, type LeadershipRecord} from './leadership-record.js';
import {createPrimaryReach, ReachVerdict} from './primary-reach.js';
import type {PrimaryWork} from './primary-work.js';
import {createRecordReaffirmation} from './reaffirm-record.js';
import type {Replacement} from './replace-primary.js';
import {createReplacements} from './replacements.js';
import {createUnsettledGroups} from './unsettled-groups.js';

/** Watches the primaries of all groups and has lost or leaving ones replaced. */
export type LeadWatch = {
	/** Groups that this host is changing, or knows to be changed from what its copy of the store says. */
	getChanging(): readonly string[];
	/** Begins no replacement any more, since this host is stopping; others do. */
	retire(): void;
	/** Whether a replacement is under way here, which should be finished: another host would have to wait for the end of the duty first. */
	readonly replacing: boolean;
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What the watch needs. */
export type LeadWatchOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly lenders: Lenders;
	readonly evidences: LeadEvidences;
	readonly primaryWork: PrimaryWork;
	readonly cutOffs: CutOffs;
	readonly duty: DutyLease;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
	readonly hostName: string;
	readonly ownPeerAddress: string;
	/** Whether this host may begin a replacement, being known to all hosts that it has to wait for. */
	mayReplace(): boolean;
	replace(replacement: Replacement): Promise<boolean>;
};

/** How often primaries are looked at, in milliseconds: a twentieth of a promotion, for some microseconds each. */
const LOOK_MS = 50;

/** How often a host looks at a primary to which it keeps no connections, in milliseconds: only what it acts on after seconds, and old evidence. */
const BYSTANDER_LOOK_MS = 400;

/** A primary that was not heard for so long is asked for a sign of life, in milliseconds, so that its loss is noticed before a caller meets it. */
const QUIET_MS = 1000;

/** Hosts wait a random part of this before they act on what several of them see, in milliseconds; most of them then find it done. */
const SPREAD_MS = 60;

/** A host that keeps no connections to a primary leaves its replacement to those that do for so long, in milliseconds: a planned one and a spare second. */
const BYSTANDER_WAIT_MS = 3000;

/** After a replacement that came to nothing the group is left alone for so long, in milliseconds. */
const PAUSE_MS = 400;

type GroupWatch = {
	busy: boolean;
	suspectedSince?: number;
	notBefore: number;
};

/** Creates the watch. */
export function createLeadWatch(options: LeadWatchOptions): LeadWatch {
	const {clock, directory, duty, elapsedClock, evidences, mirror, peers, random, store} = options;
	const log = options.log.part('leads: ');
	const reach = createPrimaryReach({
		mirror, directory, lenders: options.lenders, peers, clock, log, ownPeerAddress: options.ownPeerAddress,
	});
	const firstRecord = createFirstRecord({
		store, mirror, directory, clock, log, hostName: options.hostName,
	});
	const fenceLook = createFenceLook({
		directory, evidences, clock, elapsedClock, log, readsForAll: () => mirror.readsForAll, countHosts: () => mirror.state.hosts.length,
	});
	const watches = new Map<string, GroupWatch>();
	const stopping = createSleepAlarm();

	const noteBug = (err: unknown) => {
		log.error('a task failed', {err});
	};

	const getWatch = (group: string) => {
		const known = watches.get(group);
		if (known) {
			return known;
		}

		const watch: GroupWatch = {
			busy: false, notBefore: 0,
		};
		watches.set(group, watch);
		return watch;
	};

	const replacements = createReplacements({
		duty, mirror, peers, log, ownPeerAddress: options.ownPeerAddress, mayReplace: options.mayReplace, replace: options.replace,
	});
	const unsettled = createUnsettledGroups({
		duty,
		reaffirmation: createRecordReaffirmation({
			store, mirror, evidences, directory, clock, elapsedClock, random, log,
		}),
		replacements,
		clock,
		elapsedClock,
		random,
		hostName: options.hostName,
		spreadMs: SPREAD_MS,
		pauseMs: PAUSE_MS,
	});

	/** Replaces, or has the holder of the duty do it; then the group is left alone for a moment. */
	const replaceOrAsk = async (replacement: Replacement, epoch: number) => {
		getWatch(replacement.group).notBefore = clock.now() + PAUSE_MS;
		await replacements.beginOrAsk(replacement, epoch);
	};

	const lookAtSteady = async (record: LeadershipRecord, watch: GroupWatch) => {
		const {group, primaryId, epoch} = record;
		const endpoint = directory.get(primaryId);
		if (!endpoint) {
			// Its entry has been missing for longer than the store's own troubles explain.
			await spreadOver(record);
			if (!isCurrent(record)) {
				return;
			}

			await replaceOrAsk({group, reason: 'the primary is no longer registered', planned: false}, epoch);
			return;
		}

		const now = clock.now();
		const {health} = endpoint.pool;
		if (endpoint.entry.leaving) {
			if (hasSuccessor(group, primaryId)) {
				await spreadOver(record);
				if (!isCurrent(record)) {
					return;
				}

				await replaceOrAsk({group, reason: 'the primary is leaving', planned: true}, epoch);
			}

			return;
		}

		if (!options.lenders.keepsOwn({id: primaryId, group})) {
			// The hosts that keep connections to it watch it.
			return;
		}

		if (!health.getSuspicion(now)) {
			reach.probeEarly(primaryId);
			watch.suspectedSince = undefined;
			options.cutOffs.clear(group);
			if (health.heardAt !== undefined && now - health.heardAt > QUIET_MS) {
				await reach.probe(primaryId);
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

		const [answers, verdict] = await Promise.all([reach.probe(primaryId), reach.judge(group, primaryId, clock.now() - watch.suspectedSince)]);
		if (!answers && verdict === ReachVerdict.ReachedByOthers) {
			options.cutOffs.note(group, clock.now());
		}

		if (answers || verdict !== ReachVerdict.Lost) {
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

	/** Hosts that keep connections to the primary act first; all others only where those have not, since hundreds would ask the holder of the duty at once. */
	const spreadOver = async ({group, primaryId}: LeadershipRecord) => {
		await spread();
		if (!options.lenders.keepsOwn({id: primaryId, group})) {
			await clock.sleep(BYSTANDER_WAIT_MS);
		}
	};

	const isCurrent = ({group, epoch}: LeadershipRecord) => mirror.state.leadership.get(group)?.epoch === epoch && evidences.get(group, elapsedClock.elapsed()) !== undefined;

	const look = async (group: string, watch: GroupWatch) => {
		const record = mirror.state.leadership.get(group);
		if (!record) {
			await firstRecord.create(group);
		} else if (record.phase === LeadPhase.Steady && isAffirmed(record, mirror.state.revision)) {
			await Promise.all([lookAtSteady(record, watch), fenceLook.look(record)]);
		} else {
			await unsettled.look(record);
		}
	};

	const isDue = (group: string) => {
		const watch = getWatch(group);
		return !watch.busy && clock.now() >= watch.notBefore && !replacements.changing.has(group);
	};

	const lookSafely = async (group: string) => {
		const watch = getWatch(group);
		const primaryId = mirror.state.leadership.get(group)?.primaryId;
		if (primaryId !== undefined && !options.lenders.keepsOwn({id: primaryId, group})) {
			watch.notBefore = clock.now() + BYSTANDER_LOOK_MS;
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
		if (replacements.retired || !options.mayReplace() || record?.epoch !== epoch || record.phase !== LeadPhase.Steady || !isAffirmed(record, mirror.state.revision)) {
			return {taken: false};
		}

		(async () => {
			// Most hosts cannot reach it. Where this one can, its log is taken over whole.
			const planned = await reach.isReachable(record.primaryId);
			await replacements.begin({group, reason, planned});
		})().catch(noteBug);
		return {taken: true};
	});

	/** Whether this host is one of those that notice first what becomes of the group's primary. */
	const isNear = (group: string) => {
		const record = mirror.state.leadership.get(group);
		return record?.phase !== LeadPhase.Steady || options.lenders.keepsOwn({id: record.primaryId, group});
	};

	const run = async () => {
		while (!stopping.aborted) {
			directory.update(clock.now());
			const groups = [...mirror.state.routing?.groups.keys() ?? []];
			for (const group of groups) {
				if (isDue(group)) {
					lookSafely(group).catch(noteBug);
				}
			}

			await clock.sleep(groups.length === 0 || groups.some(group => isNear(group)) ? LOOK_MS : BYSTANDER_LOOK_MS, stopping);
		}
	};

	return {
		retire: replacements.retire,
		get replacing() {
			return replacements.changing.size > 0;
		},
		getChanging: () => [...replacements.changing, ...evidences.getOutdated()],
		async start() {
			void run();
		},
		async stop() {
			stopping.abort();
		},
	};
}
