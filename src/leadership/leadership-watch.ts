import {setImmediate as nextTurn} from 'node:timers/promises';
import type {EndpointDirectory} from '../links/endpoint-directory.js';
import {LinkError} from '../links/link-errors.js';
import type {Log} from '../log/log.js';
import type {PoolHosts} from '../connection-sharing/pool-hosts.js';
import type {MetadataStore} from '../mirror/metadata-store.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import {PlatformConflictError, PlatformError} from '../object-store/platform-errors.js';
import type {Peers} from '../peers/peers.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import type {CommitReport} from './acknowledged-commits.js';
import type {CutOffs} from './cut-offs.js';
import type {FailoverLease} from './failover-lease.js';
import {createFenceCheck} from './fence-check.js';
import type {PrimaryLeases} from './primary-leases.js';
import {createFirstRecord} from './first-record.js';
import {DeclineReason} from './leadership-calls.js';
import {isInCurrentGeneration, LeadershipPhase, type LeadershipRecord} from './leadership-record.js';
import {createPrimaryReachability, ReachVerdict} from './primary-reachability.js';
import type {PrimaryWork} from './primary-work.js';
import {createRecordRewriter} from './rewrite-record.js';
import type {Replacement} from './replace-primary.js';
import {createReplacements} from './replacements.js';
import {createReplicaSetUpkeep} from './replica-set-upkeep.js';
import {createUnresolvedGroups} from './unresolved-groups.js';

/** Monitors the primaries of all groups and replaces those that are lost or leaving. */
export type LeadershipWatch = {
	/** Returns the groups that this host is changing, or whose leadership it knows to have changed since its copy of the store. */
	getChanging(): readonly string[];
	/** Leaves replacements to the other hosts, since this host is stopping and ends at the steady time `endsAt`. */
	retire(endsAt: number): void;
	/** Whether this host is replacing a primary or handing over the failover lease. It should finish: another host would first have to wait until that lease ends. */
	readonly replacing: boolean;
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What {@link createLeadershipWatch} needs. */
export type LeadershipWatchOptions = {
	readonly store: MetadataStore;
	readonly mirror: StoreMirror;
	readonly directory: EndpointDirectory;
	readonly poolHosts: PoolHosts;
	readonly primaryLeases: PrimaryLeases;
	readonly primaryWork: PrimaryWork;
	readonly cutOffs: CutOffs;
	readonly failoverLease: FailoverLease;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
	readonly hostName: string;
	readonly ownPeerAddress: string;
	/** Whether this host may begin a replacement: all hosts that it has to wait for must know it. */
	mayReplace(): boolean;
	/** Reports the commits of a group that this host has acknowledged; undefined if it cannot tell. */
	reportCommits(group: string): CommitReport | undefined;
	replace(replacement: Replacement): Promise<boolean>;
};

/** Interval at which primaries are checked, in milliseconds: a twentieth of a promotion; each check takes some microseconds. */
const POLL_INTERVAL_MS = 50;

/** Interval at which a host checks a primary to which it keeps no connections, in milliseconds: for events that it acts on only after seconds, and for old leases. */
const UNCONNECTED_POLL_INTERVAL_MS = 400;

/** A primary that has been silent for this long is probed, in milliseconds, so that its loss is detected before a caller encounters it. */
const HEARTBEAT_AFTER_MS = 1000;

/** Hosts wait a random part of this before they act on what several of them observe, in milliseconds; most of them then find it done. */
const JITTER_MS = 60;

/** Time for which a host that keeps no connections to a primary leaves its replacement to the hosts that do, in milliseconds: a planned replacement and one second more. */
const UNCONNECTED_WAIT_MS = 3000;

/** Pause before a group is checked again after a replacement, a failed check or a change of its record, in milliseconds. */
const RETRY_DELAY_MS = 400;

type GroupWatch = {
	busy: boolean;
	suspectedSince?: number;
	/** The leaving primary that was logged as one that gets no new work. */
	unusablePrimary?: string;
	notBefore: number;
};

/** Creates the watch; it does nothing before it is started. */
export function createLeadershipWatch(options: LeadershipWatchOptions): LeadershipWatch {
	const {clock, directory, failoverLease, elapsedClock, primaryLeases, mirror, peers, random, store} = options;
	const log = options.log.withPrefix('leads: ');
	const reachability = createPrimaryReachability({
		mirror, directory, poolHosts: options.poolHosts, peers, clock, log, ownPeerAddress: options.ownPeerAddress,
	});
	const firstRecord = createFirstRecord({
		store, mirror, directory, clock, log, hostName: options.hostName,
	});
	const replicaSetUpkeep = createReplicaSetUpkeep({
		store, mirror, directory, clock, random, log,
	});
	const fenceCheck = createFenceCheck({
		directory, primaryLeases, clock, elapsedClock, log, readsForAll: () => mirror.readsForAll, countHosts: () => mirror.state.hosts.length,
	});
	const watches = new Map<string, GroupWatch>();
	const stopping = createSleepAlarm();

	const logUnexpectedError = (err: unknown) => {
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
		failoverLease, mirror, peers, clock, log, ownPeerAddress: options.ownPeerAddress, mayReplace: options.mayReplace, replace: options.replace,
	});
	const unresolvedGroups = createUnresolvedGroups({
		failoverLease,
		rewriter: createRecordRewriter({
			store, mirror, primaryLeases, directory, clock, elapsedClock, random, log,
		}),
		replacements,
		clock,
		elapsedClock,
		random,
		hostName: options.hostName,
		jitterMs: JITTER_MS,
		retryDelayMs: RETRY_DELAY_MS,
	});

	/** Replaces the primary or requests the failover coordinator to do so. The group is not checked again for {@link RETRY_DELAY_MS}. */
	const replaceOrAsk = async (replacement: Replacement, epoch: number) => {
		getWatch(replacement.group).notBefore = clock.now() + RETRY_DELAY_MS;
		await replacements.beginOrAsk(replacement, epoch);
	};

	const checkSteadyGroup = async (record: LeadershipRecord, watch: GroupWatch) => {
		const {group, primaryId, epoch} = record;
		const endpoint = directory.get(primaryId);
		if (!endpoint) {
			// Its entry has been missing for longer than faults of the store explain.
			await waitForTurn(record);
			if (!isCurrent(record)) {
				return;
			}

			await replaceOrAsk({group, reason: 'the primary is no longer registered', planned: false}, epoch);
			return;
		}

		const now = clock.now();
		const {health} = endpoint.pool;
		if (endpoint.entry.leaving) {
			noteUnusable(record, watch);
			if (hasSuccessor(group, primaryId)) {
				await waitForTurn(record);
				if (!isCurrent(record)) {
					return;
				}

				await replaceOrAsk({group, reason: 'the primary is leaving', planned: true}, epoch);
			}

			return;
		}

		if (!options.poolHosts.isPoolHost({id: primaryId, group})) {
			// The hosts that keep connections to it monitor it.
			return;
		}

		if (!health.getSuspicion(now)) {
			reachability.probeEarly(primaryId);
			watch.suspectedSince = undefined;
			options.cutOffs.clear(group);
			if (health.lastReceivedAt !== undefined && now - health.lastReceivedAt > HEARTBEAT_AFTER_MS) {
				await reachability.probe(primaryId);
			}

			return;
		}

		// A response that has arrived but was not read yet must not count as silence: this host itself may have been delayed.
		await nextTurn();
		const suspicion = health.getSuspicion(clock.now());
		if (!suspicion) {
			return;
		}

		if (watch.suspectedSince === undefined) {
			watch.suspectedSince = now;
			log.warn('a primary seems lost', {
				group, endpoint: primaryId, suspicion, epoch, heardAgoMs: health.lastReceivedAt === undefined ? undefined : Math.round(now - health.lastReceivedAt),
			});
		}

		const [responds, verdict] = await Promise.all([reachability.probe(primaryId), reachability.evaluate(group, primaryId, clock.now() - watch.suspectedSince)]);
		if (!responds && verdict === ReachVerdict.ReachedByOthers) {
			options.cutOffs.note(group, clock.now());
		}

		if (responds || verdict !== ReachVerdict.Lost) {
			return;
		}

		await sleepJitter();
		if (isCurrent(record)) {
			await replaceOrAsk({group, reason: `the primary is ${suspicion}`, planned: false}, epoch);
		}
	};

	/** Logs that a leaving primary gets no new work any more, since callers are refused until it is replaced. */
	const noteUnusable = ({group, primaryId, epoch}: LeadershipRecord, watch: GroupWatch) => {
		if (watch.unusablePrimary !== primaryId && !directory.mayTakeWork(primaryId, elapsedClock.elapsed())) {
			watch.unusablePrimary = primaryId;
			log.warn('a leaving primary gets no new work and is not replaced yet', {
				group, endpoint: primaryId, epoch, hasSuccessor: hasSuccessor(group, primaryId), failoverCoordinator: failoverLease.getOtherHolder(),
			});
		}
	};

	const hasSuccessor = (group: string, primaryId: string) => directory.list(group).some(({entry, pool}) =>
		entry.id !== primaryId && !entry.leaving && !pool.health.getSuspicion(clock.now()));

	const sleepJitter = async () => clock.sleep(random.fraction() * JITTER_MS);

	/** Hosts that keep connections to the primary act first; all others act only if those have not, since hundreds would send requests to the failover coordinator at once. */
	const waitForTurn = async ({group, primaryId}: LeadershipRecord) => {
		await sleepJitter();
		if (!options.poolHosts.isPoolHost({id: primaryId, group})) {
			await clock.sleep(UNCONNECTED_WAIT_MS);
		}
	};

	const isCurrent = ({group, epoch}: LeadershipRecord) => mirror.state.leadership.get(group)?.epoch === epoch && primaryLeases.get(group, elapsedClock.elapsed()) !== undefined;

	const checkGroup = async (group: string, watch: GroupWatch) => {
		const record = mirror.state.leadership.get(group);
		if (!record) {
			await firstRecord.create(group);
		} else if (record.phase === LeadershipPhase.Steady && isInCurrentGeneration(record, mirror.state.revision)) {
			replicaSetUpkeep.check(record);
			await Promise.all([checkSteadyGroup(record, watch), fenceCheck.check(record)]);
		} else {
			await unresolvedGroups.check(record);
		}
	};

	const isDue = (group: string) => {
		const watch = getWatch(group);
		return !watch.busy && clock.now() >= watch.notBefore && !replacements.changing.has(group);
	};

	const checkGroupSafely = async (group: string) => {
		const watch = getWatch(group);
		const primaryId = mirror.state.leadership.get(group)?.primaryId;
		if (primaryId !== undefined && !options.poolHosts.isPoolHost({id: primaryId, group})) {
			watch.notBefore = clock.now() + UNCONNECTED_POLL_INTERVAL_MS;
		}

		watch.busy = true;
		const epoch = mirror.state.leadership.get(group)?.epoch;
		try {
			await checkGroup(group, watch);
		} catch (err) {
			if (!(err instanceof PlatformError || err instanceof PlatformConflictError || err instanceof LinkError)) {
				throw err;
			}

			log.info('a check of a group was interrupted', {group, reason: err.message});
			watch.notBefore = clock.now() + RETRY_DELAY_MS;
		} finally {
			watch.busy = false;
			if (mirror.state.leadership.get(group)?.epoch !== epoch) {
				watch.notBefore = clock.now() + RETRY_DELAY_MS;
			}
		}
	};

	const getDeclineReason = (record: LeadershipRecord | undefined, epoch: number): DeclineReason | undefined => {
		if (replacements.retired) {
			return DeclineReason.Stopping;
		}

		if (!options.mayReplace()) {
			return DeclineReason.NewHost;
		}

		const isSame = record?.epoch === epoch && record.phase === LeadershipPhase.Steady && isInCurrentGeneration(record, mirror.state.revision);
		return isSame ? undefined : DeclineReason.OtherRecord;
	};

	peers.handle('lead-revoke', async ({group, epoch, settleMs, wantsDemand, wantsCommits}) => {
		const demand = wantsDemand ? {demand: options.primaryWork.getRate(group)} : {};
		primaryLeases.pause(group, epoch);
		await options.primaryWork.drain(group, settleMs);
		primaryLeases.revoke(group, epoch);
		log.info('the lease of a group was given up', {group, epoch, settleMs});
		// Reported after the lease has ended, so that nothing is acknowledged later.
		const commits = wantsCommits && options.reportCommits(group);
		return {revoked: true as const, ...demand, ...(commits && {commits})};
	});
	peers.handle('lead-changed', async (_req, from) => {
		void mirror.confirmWithPeer(from.address);
		return {heard: true as const};
	});
	peers.handle('lead-replace', async ({group, epoch, reason}) => {
		const record = mirror.state.leadership.get(group);
		const declined = getDeclineReason(record, epoch);
		if (!record || declined) {
			return {taken: false, declined};
		}

		(async () => {
			// Most hosts cannot reach the primary. If this one can, the successor takes over its whole log.
			const planned = await reachability.isReachable(record.primaryId);
			await replacements.begin({group, reason, planned});
		})().catch(logUnexpectedError);
		return {taken: true};
	});

	/** Whether this host checks the group at the short interval: it keeps connections to the primary, or the group has no steady one. */
	const isWatchedClosely = (group: string) => {
		const record = mirror.state.leadership.get(group);
		return record?.phase !== LeadershipPhase.Steady || options.poolHosts.isPoolHost({id: record.primaryId, group});
	};

	const run = async () => {
		while (!stopping.aborted) {
			directory.update(clock.now());
			const groups = [...mirror.state.routing?.groups.keys() ?? []];
			for (const group of groups) {
				if (isDue(group)) {
					checkGroupSafely(group).catch(logUnexpectedError);
				}
			}

			await clock.sleep(groups.length === 0 || groups.some(group => isWatchedClosely(group)) ? POLL_INTERVAL_MS : UNCONNECTED_POLL_INTERVAL_MS, stopping);
		}
	};

	return {
		retire: replacements.retire,
		get replacing() {
			return replacements.active;
		},
		getChanging: () => [...replacements.changing, ...primaryLeases.getOutdated()],
		async start() {
			void run();
		},
		async stop() {
			stopping.abort();
		},
	};
}
