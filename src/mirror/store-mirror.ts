import {setImmediate as nextTurn} from 'node:timers/promises';
import type {HostRecord} from '../leadership/leadership-record.js';
import type {Log} from '../log/log.js';
import type {Peers} from '../peers/peers.js';
import {withinMs} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {createSleepAlarm} from '../time/sleep-alarm.js';
import {createMirrorCopy} from './mirror-copy.js';
import type {MetadataStore} from './metadata-store.js';
import {NameOrderLayout, type HostTreeLayout} from './host-tree.js';
import type {StoreUpdate, UnfencedGroup} from './mirror-calls.js';
import type {MirrorState} from './mirror-state.js';
import {createChangeFeedServer} from './change-feed-server.js';
import {createChangeFeedClient} from './change-feed-client.js';
import {createChangeFeedSource} from './change-feed-source.js';
import {MAX_UNANIMOUS_HOSTS} from './peer-choice.js';
import {createPeerConfirmation} from './peer-confirmation.js';
import {createReadRateLimiter} from './read-rate-limiter.js';
import {createStoreReader} from './store-reader.js';
import {createSilentHosts} from './silent-hosts.js';

/** A copy of the store's contents, with the time up to which it was confirmed to be complete. */
export type StoreMirror = {
	readonly state: MirrorState;
	/** Elapsed time at which the last confirmation that all parts but the configuration were complete was requested; undefined before the first. */
	readonly partsConfirmedAt: number | undefined;
	/** The same for the last confirmation by the store itself, to this host or to a peer. */
	readonly storeConfirmedAt: number | undefined;
	/** The same for the last confirmation by the store that the configuration is the latest. */
	readonly routingConfirmedAt: number | undefined;
	/** Reads the store, or asks peers; resolves with whether the copy was confirmed to be complete at a time after the call. */
	confirm(): Promise<boolean>;
	/** Requests a confirmation without waiting for it. */
	confirmSoon(): void;
	/** Has one peer, which reported a change, read the store, and applies its response; resolves with whether that confirmed the copy. */
	confirmWithPeer(peerAddress: string): Promise<boolean>;
	/** Resolves at the next confirmation, without requesting one. */
	nextConfirmation(): Promise<void>;
	/** Notifies the hosts that poll this one of the groups whose endpoints showed no fence. */
	notifyUnfenced(): void;
	/** Whether the configuration held is the latest as of the last confirmation; else a later one may be arriving. */
	readonly isRoutingComplete: boolean;
	/** Whether this host reads the store for all others. */
	readonly readsForAll: boolean;
	/** Returns the steady time at which a peer last polled this host; undefined if it never did. */
	getLastPolledAt(peerAddress: string): number | undefined;
	/** Returns the addresses of hosts that have polled nobody for `silentAfterMs` milliseconds, as far as this host and those that poll it know. */
	getSilentHosts(silentAfterMs: number): readonly string[];
	/** Calls `listener` after each confirmation, once the contents that it confirms are applied. */
	onChange(listener: () => void): void;
	/** Confirms the copy at an interval until stopped: one host reads the store, and the others receive its updates along a tree. */
	start(): Promise<void>;
	stop(): Promise<void>;
};

/** What the mirror needs. */
export type StoreMirrorOptions = {
	readonly store: MetadataStore;
	readonly peers: Peers;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	/** The record under which this host registers. */
	readonly host: HostRecord;
	/** The shape of the tree along which updates spread; by the names of the hosts where it is undefined. */
	readonly layout?: HostTreeLayout;
	/** Peers to ask before any host is known. */
	readonly seeds: readonly string[];
	/** Returns the groups that this host is changing, or whose leadership it knows to have changed since its copy of the store. */
	getChanging(): readonly string[];
	/** Returns the groups whose primaries remain valid because their endpoints, queried after the copy was last confirmed, showed no fence. */
	getUnfenced(now: number): readonly UnfencedGroup[];
	/** Records a peer's report that a group's endpoints showed no fence when they were queried at the elapsed time `queriedAt`. */
	noteUnfenced(group: string, epoch: number, queriedAt: number): void;
};

/**
 * Interval between confirmations, in milliseconds. Each costs one call to the store, and calls are billed; the maximum
 * age of a primary lease bounds the interval from above, and four attempts fit into that age.
 */
export const CONFIRM_INTERVAL_MS = 700;

/** Time by which the configuration may lag behind the other parts of the copy while work begins under it, in milliseconds: the shortest time in which an accepted one has to be in force. */
export const MAX_ROUTING_LAG_MS = 3000;

/** Maximum time for which a poll is held, in milliseconds: one interval and the time for a read of the store. */
const POLL_HOLD_MS = CONFIRM_INTERVAL_MS + 200;

/** The same for a host whose confirmation is overdue, in milliseconds: it has to detect soon whether the host that it polls is still alive. */
const OVERDUE_HOLD_MS = 200;

/** Time for which the store may take to respond before peers are asked too, in milliseconds: about forty times its usual response time. */
const ASK_PEERS_AFTER_MS = 250;

/** Age above which a confirmation is overdue, in milliseconds: two intervals. */
const OVERDUE_MS = 2 * CONFIRM_INTERVAL_MS;

/** Time for which a host whose confirmation is overdue waits for the host that it polls before it reads the store itself, in milliseconds. */
const OVERDUE_WAIT_MS = 250;

/** Time for which a host leaves it to the host that it polls to provide a configuration, in milliseconds: a second before it may begin no more work under the one held. */
const ROUTING_OVERDUE_MS = MAX_ROUTING_LAG_MS - 1000;

/** Pause after a response without anything new, in milliseconds. */
const NO_UPDATE_PAUSE_MS = 100;

/** Time without a poll after which a host is reported to the parent as silent, in milliseconds: about four polls. */
const SILENT_AFTER_MS = 3000;

/** Creates a mirror. */
export function createStoreMirror(options: StoreMirrorOptions): StoreMirror {
	const {store, peers, clock, elapsedClock, host, layout = new NameOrderLayout()} = options;
	const log = options.log.withPrefix('mirror: ');
	const stopping = createSleepAlarm();
	const copy = createMirrorCopy(log);
	const source = createChangeFeedSource(copy, host, options.seeds, log, layout);
	const silentHosts = createSilentHosts(clock.now());
	const readRateLimiter = createReadRateLimiter();
	let running: Promise<boolean> | undefined;
	let queued: Promise<boolean> | undefined;
	let wake = createSleepAlarm();
	let confirmationWaiters: Array<() => void> = [];
	/** Reads under way for hosts that rely on this one for the configuration. */
	let readsForOthers = 0;
	/** Steady time at which the configuration was first found to be incomplete; undefined where it is complete. */
	let routingIncompleteSince: number | undefined;

	const reader = createStoreReader({
		store,
		clock,
		elapsedClock,
		log,
		getRevision: () => copy.state.revision,
		getRouting: () => copy.state.routing,
		isRoutingComplete: () => copy.isRoutingComplete,
		mayReadRouting: () => copy.state.routing === undefined || source.getParent(clock.now()) === undefined || readsForOthers > 0 || isFeedFailing() || isRoutingOverdue(),
		adopt(read, routingRevision = 0) {
			copy.adopt(read, routingRevision);
		},
		adoptRouting(read, askedAt) {
			copy.adoptRouting(read.content, read.revision, askedAt);
		},
		onConfirmed(askedAt) {
			copy.noteConfirmed(askedAt, askedAt);
		},
	});
	const getSilent = (silentAfterMs: number) => silentHosts.getSilent(source.getTree(), host, silentAfterMs, clock.now());
	const feedClient = createChangeFeedClient({
		peers,
		copy,
		elapsedClock,
		log,
		place: layout.sendsPlace
			? {
				name: host.name, peerAddress: host.peerAddress, availabilityZone: host.availabilityZone, capacity: host.capacity,
			}
			: undefined,
		keepUpdate(key, bytes) {
			feedServer.keepUpdate(key, bytes);
		},
		getSilent: () => getSilent(SILENT_AFTER_MS),
		noteUnfenced: options.noteUnfenced,
	});
	/** Reads the store for a host that may not reach it. */
	const readForOther = async (readsRouting: boolean) => {
		const reads = readsRouting ? 1 : 0;
		readsForOthers += reads;
		return reader.readAfterNow().finally(() => {
			readsForOthers -= reads;
		});
	};

	const feedServer = createChangeFeedServer({
		peers,
		copy,
		clock,
		elapsedClock,
		getChanging: options.getChanging,
		getUnfenced: options.getUnfenced,
		readForOther,
		mayServe: place => layout.mayServe(host, place, source.getParent(clock.now()) === undefined),
		onRequest(from, request) {
			silentHosts.noteRequest(from, request.unheard, clock.now());
		},
	});
	const peerConfirmation = createPeerConfirmation({
		copy,
		elapsedClock,
		log,
		ownPeerAddress: host.peerAddress,
		getChanging: options.getChanging,
		getOthers: source.getOthers,
		askPeer: feedClient.pollUrgently,
	});

	/** What the hosts that poll this one were last notified of. */
	let lastSent: {readonly revision: number; readonly routing?: number; readonly confirmedAt?: number} = {revision: 0};

	copy.onChange(() => {
		const routing = copy.state.routing?.version;
		if (lastSent.revision !== copy.state.revision || lastSent.routing !== routing || lastSent.confirmedAt !== copy.partsConfirmedAt) {
			lastSent = {revision: copy.state.revision, routing, confirmedAt: copy.partsConfirmedAt};
			feedServer.respond();
		}

		const waiters = confirmationWaiters;
		confirmationWaiters = [];
		for (const resolve of waiters) {
			resolve();
		}
	});

	const confirmOnce = async () => {
		const own = reader.readAfterNow();
		const first = await withinMs(clock, ASK_PEERS_AFTER_MS, own);
		if (!first.timedOut && first.value) {
			return true;
		}

		const confirmedByPeers = peerConfirmation.confirm();
		const either = await Promise.race([confirmedByPeers, own.then(async confirmed => confirmed || confirmedByPeers)]);
		return either || own;
	};

	const confirm = async (): Promise<boolean> => {
		if (!running) {
			running = confirmOnce().finally(() => {
				running = undefined;
			});
			return running;
		}

		queued ??= running.then(async () => {
			queued = undefined;
			return confirm();
		});
		return queued;
	};

	const isOverdue = () => copy.partsConfirmedAt === undefined || elapsedClock.elapsed() - copy.partsConfirmedAt > OVERDUE_MS;

	/** Whether the fleet is small enough for each host to ask all others. In a larger one the reads that they make for it may fill narrow links beside a large configuration. */
	const mayAskPeers = () => source.getOthers().length < MAX_UNANIMOUS_HOSTS;

	/**
	 * Reads the store outside the schedule, and asks peers where it does not answer and the host that is polled does not confirm either: that one may be alive and as little in touch
	 * with the store, having just started for example.
	 */
	const confirmUnscheduled = async () => {
		if (!await reader.readAfterNow() && isOverdue() && mayAskPeers()) {
			await peerConfirmation.confirm();
		}
	};

	/** Reads the store outside the schedule, within the rate that all hosts share. */
	const readUnscheduled = () => {
		if (readRateLimiter.take(source.getOthers().length + 1, clock.now())) {
			void confirmUnscheduled();
		}
	};

	/** Whether a polled host was confirmed so long before this one that it is no source of updates. */
	const isBehind = ({ageMs}: StoreUpdate) => mayAskPeers() && !isOverdue() && (ageMs === undefined || elapsedClock.elapsed() - copy.partsConfirmedAt! < ageMs - OVERDUE_MS);

	/** Whether the hosts that this one polls do not confirm and one of them is excluded: it cannot wait for the configuration from them. */
	const isFeedFailing = () => isOverdue() && source.isAvoiding(clock.now());

	/**
	 * Whether the configuration has been incomplete for long, was last confirmed long before the other parts, and does not arrive from another host either. Guards against a fleet
	 * that waits for one host with a slow link, or with a lossy one to the store, to read a large configuration.
	 */
	const isRoutingOverdue = () => {
		const now = clock.now();
		const lagMs = (copy.partsConfirmedAt ?? 0) - (copy.routingConfirmedAt ?? 0);
		routingIncompleteSince = copy.isRoutingComplete ? undefined : (routingIncompleteSince ?? now);
		return lagMs > ROUTING_OVERDUE_MS && now - (routingIncompleteSince ?? now) > ROUTING_OVERDUE_MS && !feedClient.isReceiving;
	};

	/** Waits for an update, and reads the store where its pieces take so long that the confirmation of the other parts is overdue. */
	const waitForUpdate = async (polled: ReturnType<typeof feedClient.poll>) => {
		for (;;) {
			const bounded = await withinMs(clock, OVERDUE_MS, polled);
			if (!bounded.timedOut) {
				return bounded.value;
			}

			readUnscheduled();
		}
	};

	const pollParent = async (parent: string) => {
		const overdue = isOverdue();
		const {pieces} = feedClient;
		const polled = feedClient.poll(parent, overdue || source.isRecovering(clock.now()) ? OVERDUE_HOLD_MS : POLL_HOLD_MS);
		if (overdue) {
			const first = await withinMs(clock, OVERDUE_WAIT_MS, polled);
			if (first.timedOut || !(mayAskPeers() ? first.value?.isLater : first.value?.isNew)) {
				readUnscheduled();
			}
		}

		const result = await waitForUpdate(polled);
		if (!result && feedClient.pieces === pieces) {
			source.avoid(parent, clock.now());
		} else if (!result) {
			// Something has arrived: the update goes on behind it at the next poll.
			await clock.sleep(NO_UPDATE_PAUSE_MS, stopping);
		} else if (result.update.declined) {
			source.noteDeclined(parent, clock.now());
		} else if (!result.isNew) {
			if (isBehind(result.update)) {
				source.noteBehind(parent, clock.now());
			}

			await clock.sleep(NO_UPDATE_PAUSE_MS, stopping);
		}
	};

	const run = async () => {
		while (!stopping.aborted) {
			const parent = copy.state.revision === 0 ? undefined : source.getParent(clock.now());
			if (parent === undefined) {
				wake = createSleepAlarm();
				await confirm();
				await clock.sleep(CONFIRM_INTERVAL_MS, wake);
			} else {
				await pollParent(parent);
				if (isRoutingOverdue()) {
					readUnscheduled();
				}
			}

			await nextTurn();
		}
	};

	const readsForAll = () => source.getParent(clock.now()) === undefined && !source.isDeclined(clock.now());

	return {
		get state() {
			return copy.state;
		},
		get partsConfirmedAt() {
			return copy.partsConfirmedAt;
		},
		get storeConfirmedAt() {
			return copy.storeConfirmedAt;
		},
		get routingConfirmedAt() {
			return copy.routingConfirmedAt;
		},
		get isRoutingComplete() {
			return copy.isRoutingComplete;
		},
		confirm,
		confirmSoon() {
			if (readsForAll()) {
				wake.abort();
			} else {
				readUnscheduled();
			}
		},
		async confirmWithPeer(address) {
			const result = await feedClient.pollUrgently(address);
			return result?.confirmed ?? false;
		},
		async nextConfirmation() {
			return new Promise(resolve => {
				confirmationWaiters.push(resolve);
			});
		},
		notifyUnfenced: feedServer.respondSoon,
		get readsForAll() {
			return readsForAll();
		},
		getLastPolledAt: silentHosts.getLastPolledAt,
		getSilentHosts: getSilent,
		onChange: copy.onChange,
		async start() {
			void run();
		},
		async stop() {
			stopping.abort();
			wake.abort();
		},
	};
}
