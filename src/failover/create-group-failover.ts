import {throwNotConnected} from '../endpoints/endpoint-errors.js';
import type {Log} from '../log/log.js';
import type {Hosts, Owning} from '../membership/hosts.js';
import type {Platform} from '../object-store/platform.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {FailoverParts, Promotion} from './failover-parts.js';
import type {FailoverMember, FailoverPeers} from './failover-peers.js';
import type {FailoverSettings} from './failover-settings.js';
import {FailoverPhase, type FailoverState} from './failover-state.js';
import {createGroupControl} from './group-control.js';
import type {GroupFailover, GroupFailoverContext} from './group-failover.js';
import {createOtherOwners} from './other-owners.js';
import {createPlannedChanges} from './planned-changes.js';
import {getPollTimes} from './poll-times.js';
import {createPrimaryWatch} from './primary-watch.js';
import {createGroupRepair} from './repair-group.js';
import {replacePrimary} from './replace-primary.js';
import {createReplicaWatch} from './replica-watch.js';
import {createReachabilityReports} from './reachability-reports.js';
import {createTermClaim} from './term-claim.js';
import {createInterruptibleSleep} from './interruptible-sleep.js';
import {createWriteHolds} from './write-holds.js';

/** Options of {@link createGroupFailover}. */
export type GroupFailoverOptions = {
	readonly context: GroupFailoverContext;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly platform: Platform;
	/** Handles the peer calls of failover on this host, for all groups. */
	readonly failoverPeers: FailoverPeers;
	readonly hosts: Hosts;
	readonly owning: Owning;
	readonly settings: FailoverSettings;
	/** Called after every change of primary that this host performed. */
	onPromoted?(promotion: Promotion): void;
};

/** A group's failover that also exposes its state. */
export type ObservableGroupFailover = GroupFailover & {
	getState(): FailoverState;
};

/** Minimum pause between two checks of the primary, in milliseconds; traffic may report suspicions more often. */
const MIN_CHECK_INTERVAL_MS = 20;

/** Creates the failover of one group on this host. */
export function createGroupFailover(options: GroupFailoverOptions): ObservableGroupFailover {
	const {context, clock, random, hosts, owning, settings} = options;
	const {knowledge} = context;
	const {peers} = options.failoverPeers;
	const {name: group} = context.getGroup().cfg;
	const host = hosts.self.name;
	const log = options.log.withPrefix('failover: ');
	const stopping = new AbortController();
	const checkDelay = createInterruptibleSleep(clock);
	let state: FailoverState = {phase: FailoverPhase.Watching, reason: 'not begun', since: clock.now()};
	let tasks: ReadonlyArray<Promise<void>> = [];

	const getCfg = () => context.getGroup().cfg;
	const shared = {
		clock, peers, hosts, owning, settings, group, getOwnerCount: () => getCfg().owners,
	};

	const others = createOtherOwners(shared);

	const parts: FailoverParts = {
		clock,
		random,
		log,
		settings,
		control: createGroupControl({clock, context}),
		knowledge,
		claim: createTermClaim({
			platform: options.platform, log, group, host,
		}),
		others,
		group,
		getCfg,
		getPollTimes: () => getPollTimes(settings, {rank: others.getRank(), idleMs: context.getIdleMs?.(clock.now())}),
		isHostLeaving: address => hosts.isEndpointLeaving(address),
		setState(phase, reason) {
			if (state.phase !== phase) {
				log.info(`entered ${phase}`, {group, reason});
			}

			state = {phase, reason, since: state.phase === phase ? state.since : clock.now()};
		},
		async announce(promoted, cause, durations) {
			const {term, status, followed, endpoint: {name: endpoint}} = promoted;
			log.info('promoted a new primary', {
				group, endpoint, term, cause, followed, ...durations,
			});
			options.onPromoted?.({
				group, term, endpoint, status, cause, stepDurations: durations,
			});
			parts.setState(FailoverPhase.Watching, `${endpoint} is primary at term ${term}`);
			await parts.others.notifyPrimary(endpoint, status);
		},
		stopped: stopping.signal,
	};

	const holds = createWriteHolds(clock, context);
	const repair = createGroupRepair(parts);
	const replicas = createReplicaWatch({
		...parts,
		onCutOff() {
			checkDelay.wake();
		},
	});
	const watch = createPrimaryWatch({
		...parts,
		reachabilityReports: createReachabilityReports(shared),
		getStatus: async (address, timeoutMs) => options.failoverPeers.getStatus(address, timeoutMs),
		getCutOffSince: now => replicas.getCutOffSince(now),
	});
	const planned = createPlannedChanges({
		...parts, holds, host, recheckPrimary() {
			checkDelay.wake();
		},
	});

	const watchPrimary = async () => {
		const {primaryMs: pollMs} = parts.getPollTimes();
		const loss = await watch.findLoss(pollMs);
		if (loss) {
			await replacePrimary({
				...parts, loss, setOwnTerm(term) {
					watch.setOwnTerm(term);
				},
			});
		}

		await clock.sleep(MIN_CHECK_INTERVAL_MS, stopping.signal);
		await checkDelay.sleep(watch.getPollDelayMs(pollMs));
	};

	const repairServers = async () => {
		await repair.run(parts.others.getRank());
		await clock.sleep(settings.repairMs, stopping.signal);
	};

	/** Runs a task's step repeatedly until the failover stops; an error in one step does not end the task. */
	const run = async (step: () => Promise<void>) => {
		while (!stopping.signal.aborted) {
			try {
				await step();
			} catch (err) {
				log.error('a failover task failed', {group, err});
				await clock.sleep(settings.retryMinMs, stopping.signal);
			}
		}
	};

	const suspectPrimary = (now: number) => {
		watch.suspect(now);
		checkDelay.wake();
	};

	const member: FailoverMember = {
		async getStatus(address, timeoutMs) {
			const endpoint = getCfg().endpoints.find(each => each.address === address);
			return endpoint ? parts.control.status(endpoint.name, timeoutMs) : throwNotConnected(address, 'the group has no such endpoint');
		},
		suspectAddress(address) {
			if (knowledge.getPrimary()?.address === address) {
				suspectPrimary(clock.now());
			}
		},
		hold: async (holdId, ms) => holds.hold(holdId, ms),
		release(holdId) {
			holds.release(holdId);
		},
		observePrimary(endpoint, status) {
			knowledge.observe(endpoint, status, clock.now());
		},
	};

	return {
		async start() {
			options.failoverPeers.register(group, member);
			tasks = [watchPrimary, repairServers, async () => replicas.poll(), async () => planned.runHandover()].map(async step => run(step));
		},
		async stop() {
			stopping.abort();
			checkDelay.wake();
			options.failoverPeers.unregister(group, member);
			await Promise.all(tasks);
		},
		suspect(endpoint, now) {
			if (knowledge.getPrimary()?.name === endpoint) {
				suspectPrimary(now);
			}
		},
		async switchTo(endpoint, deadlineMs) {
			await planned.change(endpoint, deadlineMs);
		},
		getState: () => state,
	};
}
