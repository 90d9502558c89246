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
import type {UnfencedGroup} from './mirror-calls.js';
import type {MirrorState} from './mirror-state.js';
import {createNewsAnswers} from './news-answers.js';
import {createNewsQuestions} from './news-questions.js';
import {createNewsSource} from './news-source.js';
import {createPeerHelp} from './peer-help.js';
import {createReadPermit} from './read-permit.js';
import {createStoreReader} from './store-reader.js';
import {createUnheardHosts} from './unheard-hosts.js';

/** A copy of the store's contents that knows until when it was complete. */
export type StoreMirror = {
	readonly state: MirrorState;
	/** Elapsed time at which the last confirmation that the copy was complete had been asked for; undefined before the first. */
	readonly confirmedAt: number | undefined;
	/** The same, of the last confirmation by the store itself, at this host or a peer. */
	readonly storeConfirmedAt: number | undefined;
	/** The same, of the last confirmation by the store that the configuration is the latest. */
	readonly routingConfirmedAt: number | undefined;
	/** Reads the store, or asks peers; true where the copy was found complete at a time after the call. */
	confirm(): Promise<boolean>;
	/** Has the copy confirmed soon, without waiting. */
	confirmSoon(): void;
	/** Confirms by one peer alone, as it told of a change. */
	confirmBy(peerAddress: string): Promise<boolean>;
	/** Resolves with the next confirmation that comes by itself. */
	nextConfirmation(): Promise<void>;
	/** Tells the hosts that ask this one of groups whose endpoints showed no fence. */
	tellUnfenced(): void;
	/** This host reads the store for all. */
	readonly readsForAll: boolean;
	/** Steady time at which a peer last asked this host for news; undefined where it never did. */
	getHeardAt(peerAddress: string): number | undefined;
	/** Addresses of hosts that nobody heard for `quietMs`, as far as those that ask this host tell. */
	getUnheard(quietMs: number): readonly string[];
	/** Called after each change of the copy and after each confirmation. */
	onChange(listener: () => void): void;
	/** Confirms at an interval until stopped: one host reads the store, the others have its news along a tree. */
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
	/** This host as it registers itself. */
	readonly host: HostRecord;
	/** Peers to ask before any host is known. */
	readonly seeds: readonly string[];
	/** Groups that this host is changing, or may have changed without knowing. */
	getChanging(): readonly string[];
	/** Groups whose primaries hold, by what their endpoints showed after the copy was last confirmed. */
	getUnfenced(now: number): readonly UnfencedGroup[];
	/** Takes over from a peer that a group's endpoints showed no fence, as asked at the elapsed time `askedAt`. */
	noteUnfenced(group: string, epoch: number, askedAt: number): void;
};

/**
 * Pause between confirmations, in milliseconds. A confirmation costs one call to the store, which is priced, and how
 * old evidence may get bounds it from above: four tries fit into that bound.
 */
export const CONFIRM_INTERVAL_MS = 700;

/** A host that is asked for news answers after so long at the latest, in milliseconds: an interval and a reading. */
const HOLD_MS = CONFIRM_INTERVAL_MS + 200;

/** The same for a host whose news is overdue, in milliseconds: it is to find out soon whether the one that it asks is still there. */
const OVERDUE_HOLD_MS = 200;

/** The store is given this long before peers are asked too, in milliseconds; some forty times its usual answer. */
const PEER_HELP_AFTER_MS = 250;

/** A confirmation that is older is overdue, in milliseconds: two intervals. */
const OVERDUE_MS = 2 * CONFIRM_INTERVAL_MS;

/** A host whose confirmation is overdue waits so long for the host that it asks before it looks for itself, in milliseconds. */
const OVERDUE_WAIT_MS = 250;

/** Pause after an answer that told nothing, in milliseconds. */
const NOTHING_NEW_PAUSE_MS = 100;

/** A host is told to its parent as silent after so long, in milliseconds: four of its questions. */
const QUIET_MS = 3000;

/** Creates a mirror. */
export function createStoreMirror(options: StoreMirrorOptions): StoreMirror {
	const {store, peers, clock, elapsedClock, host} = options;
	const log = options.log.part('mirror: ');
	const stopping = createSleepAlarm();
	const copy = createMirrorCopy(log);
	const source = createNewsSource(copy, host, options.seeds, log);
	const unheard = createUnheardHosts(clock.now());
	const permit = createReadPermit();
	let running: Promise<boolean> | undefined;
	let queued: Promise<boolean> | undefined;
	let wake = createSleepAlarm();
	let confirmationWaiters: Array<() => void> = [];

	const reader = createStoreReader({
		store,
		clock,
		elapsedClock,
		log,
		getRevision: () => copy.state.revision,
		adopt: copy.adopt,
		onConfirmed(askedAt) {
			copy.noteConfirmed(askedAt, askedAt);
		},
	});
	const getUnheard = (quietMs: number) => unheard.getUnheard(source.getTree(), host, quietMs, clock.now());
	const questions = createNewsQuestions({
		peers, copy, elapsedClock, log, getUnheard: () => getUnheard(QUIET_MS), noteUnfenced: options.noteUnfenced,
	});
	const answers = createNewsAnswers({
		peers,
		copy,
		clock,
		elapsedClock,
		getChanging: options.getChanging,
		getUnfenced: options.getUnfenced,
		readAfterNow: reader.readAfterNow,
		onQuestion(from, question) {
			unheard.note(from, question.unheard, clock.now());
		},
	});
	const help = createPeerHelp({
		copy,
		elapsedClock,
		log,
		ownPeerAddress: host.peerAddress,
		getChanging: options.getChanging,
		getOthers: source.getOthers,
		askPeer: questions.askUrgently,
	});

	/** What was last told to those that ask this host. */
	let told: {readonly revision: number; readonly confirmedAt?: number} = {revision: 0};

	copy.onChange(() => {
		if (told.revision !== copy.state.revision || told.confirmedAt !== copy.confirmedAt) {
			told = {revision: copy.state.revision, confirmedAt: copy.confirmedAt};
			answers.tell();
		}

		const woken = confirmationWaiters;
		confirmationWaiters = [];
		for (const resolve of woken) {
			resolve();
		}
	});

	const confirmOnce = async () => {
		const own = reader.readAfterNow();
		const first = await withinMs(clock, PEER_HELP_AFTER_MS, own);
		if (!first.timedOut && first.value) {
			return true;
		}

		const helped = help.ask();
		const either = await Promise.race([helped, own.then(async confirmed => confirmed || helped)]);
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

	/** Reads the store out of turn, as far as all hosts together may; has nobody read for this host, since the one that reads for all has that done. */
	const readOutOfTurn = () => {
		if (permit.take(source.getOthers().length + 1, clock.now())) {
			void reader.readAfterNow();
		}
	};

	const isOverdue = () => copy.confirmedAt === undefined || elapsedClock.elapsed() - copy.confirmedAt > OVERDUE_MS;

	const askParent = async (parent: string) => {
		const overdue = isOverdue();
		const asked = questions.ask(parent, overdue ? OVERDUE_HOLD_MS : HOLD_MS);
		if (overdue) {
			const first = await withinMs(clock, OVERDUE_WAIT_MS, asked);
			if (first.timedOut || !first.value?.isNew) {
				readOutOfTurn();
			}
		}

		const answer = await asked;
		if (!answer) {
			source.avoid(parent, clock.now());
		} else if (!answer.isNew) {
			await clock.sleep(NOTHING_NEW_PAUSE_MS, stopping);
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
				await askParent(parent);
			}

			await nextTurn();
		}
	};

	const readsForAll = () => source.getParent(clock.now()) === undefined;

	return {
		get state() {
			return copy.state;
		},
		get confirmedAt() {
			return copy.confirmedAt;
		},
		get storeConfirmedAt() {
			return copy.storeConfirmedAt;
		},
		get routingConfirmedAt() {
			return copy.routingConfirmedAt;
		},
		confirm,
		confirmSoon() {
			if (readsForAll()) {
				wake.abort();
			} else {
				readOutOfTurn();
			}
		},
		async confirmBy(address) {
			const answer = await questions.askUrgently(address);
			return answer?.confirmed ?? false;
		},
		async nextConfirmation() {
			return new Promise(resolve => {
				confirmationWaiters.push(resolve);
			});
		},
		tellUnfenced: answers.tellSoon,
		get readsForAll() {
			return readsForAll();
		},
		getHeardAt: unheard.getHeardAt,
		getUnheard,
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
