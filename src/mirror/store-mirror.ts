import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Log} from '../log/log.js';
import {PlatformError} from '../object-store/platform-errors.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import {withinMs, type Bounded} from '../time/deadline.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {ConfirmAnswer} from './confirm-answer.js';
import type {MetadataStore} from './metadata-store.js';
import {
	EMPTY_STATE, fromSnapshot, getLaterRouting, toSnapshot, type MirrorState,
} from './mirror-state.js';
import {createPeerChoice} from './peer-choice.js';
import {createStoreReader} from './store-reader.js';

/** A copy of the store's contents that knows until when it was complete. */
export type StoreMirror = {
	readonly state: MirrorState;
	/** Elapsed time at which the last confirmation that the copy was complete had been asked for; undefined before the first. */
	readonly confirmedAt: number | undefined;
	/** The same, of the last confirmation by the store itself, at this host or a peer. */
	readonly storeConfirmedAt: number | undefined;
	/** Reads the store, or asks peers; true where the copy was found complete at a time after the call. */
	confirm(): Promise<boolean>;
	/** Has the copy confirmed soon, without waiting. */
	confirmSoon(): void;
	/** Confirms by one peer alone, as it told of a change. */
	confirmBy(peerAddress: string): Promise<boolean>;
	/** This host reads the store for all. */
	readonly readsForAll: boolean;
	/** Steady time at which a peer last asked this host for a confirmation; undefined where it never did. */
	getHeardAt(peerAddress: string): number | undefined;
	/** Called after each change of the copy and after each confirmation. */
	onChange(listener: () => void): void;
	/**
	 * Confirms at an interval until stopped. One host reads the store and the others ask it, each question waiting for the
	 * next reading: nine hosts make 1.4 calls a second in place of 13, measured on a calm day.
	 */
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
	readonly ownPeerAddress: string;
	/** Peers to ask before any host is known. */
	readonly seeds: readonly string[];
	/** Groups that this host is changing, or may have changed without knowing. */
	getChanging(): readonly string[];
};

/**
 * Pause between confirmations, in milliseconds. A confirmation costs one call to the store, which is priced, and how
 * old evidence may get bounds it from above: four tries fit into that bound.
 */
export const CONFIRM_INTERVAL_MS = 700;

/**
 * A host that the store has not confirmed for so long goes on no further by the word of the other hosts, or of the endpoints, in milliseconds:
 * later its own record may be deleted as that of a host that is gone, and hosts that it does not know may replace primaries. Outages of 3 to
 * 9 s are ordinary; and as long as a dead host's record stays, each replacement waits for it.
 */
export const LONGEST_WITHOUT_STORE_MS = 9000;

/** Longest wait for the host that reads for all, in milliseconds: one interval and a reading. */
const READER_TIMEOUT_MS = CONFIRM_INTERVAL_MS + 300;

/** A host that did not read for others is left alone for so long, in milliseconds; the next one by name is asked. */
const AVOID_READER_MS = 5000;

/** The store is given this long before peers are asked too, in milliseconds; some forty times its usual answer. */
const PEER_HELP_AFTER_MS = 250;

/** Longest question to a peer, in milliseconds: it reads the store for its answer. */
const PEER_TIMEOUT_MS = 700;

/** A peer that has not read the store within this time answers without, in milliseconds. */
const HELPING_READ_MS = 400;

/** Creates a mirror. */
export function createStoreMirror(options: StoreMirrorOptions): StoreMirror {
	const {store, peers, clock, elapsedClock} = options;
	const log = options.log.part('mirror: ');
	const stopping = new AbortController();
	const listeners: Array<() => void> = [];
	let state = EMPTY_STATE;
	let confirmedAt: number | undefined;
	let storeConfirmedAt: number | undefined;
	let running: Promise<boolean> | undefined;
	let queued: Promise<boolean> | undefined;
	let wake = new AbortController();
	/** By address of a host that did not read the store for others, until when it is not asked to, in steady time. */
	const avoidedUntil = new Map<string, number>();
	const choosePeers = createPeerChoice(options.ownPeerAddress);
	/** By address, when a peer asked last, in steady time. */
	const heardAt = new Map<string, number>();
	/** Peers whose questions wait for the next reading. */
	const inTurn: Array<(confirmed: boolean) => void> = [];

	const tell = () => {
		for (const listener of listeners) {
			listener();
		}
	};

	const adopt = (read: MirrorState) => {
		if (read.revision < state.revision) {
			return;
		}

		const before = state;
		state = {...read, routing: getLaterRouting(state.routing, read.routing)};
		if (state.routing?.version !== before.routing?.version) {
			log.info('a configuration is in force', {version: state.routing?.version, before: before.routing?.version, revision: state.revision});
		}
	};

	const noteConfirmed = (askedAt: number) => {
		confirmedAt = Math.max(confirmedAt ?? askedAt, askedAt);
		tell();
	};

	/** Notes a confirmation by the store itself. */
	const noteStoreConfirmed = (askedAt: number) => {
		storeConfirmedAt = Math.max(storeConfirmedAt ?? askedAt, askedAt);
		noteConfirmed(askedAt);
	};

	const reader = createStoreReader({
		store, clock, elapsedClock, log, getRevision: () => state.revision, adopt, onConfirmed: noteStoreConfirmed,
	});

	const askPeer = async (address: string, urgent: boolean): Promise<ConfirmAnswer | undefined> => {
		try {
			const answer = await peers.call(address, 'mirror-confirm', {revision: state.revision, urgent}, urgent ? PEER_TIMEOUT_MS : READER_TIMEOUT_MS);
			if (answer.snapshot) {
				adopt(fromSnapshot(answer.snapshot));
			}

			return answer;
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			log.debug('a peer did not confirm', {peer: address, reason: err.message});
			return undefined;
		}
	};

	/** Takes a peer's confirmation: it counts from the question, and only for what this copy holds by now. */
	const noteAnswer = (answer: ConfirmAnswer | undefined, askedAt: number) => {
		if (!answer?.confirmed || answer.revision > state.revision) {
			return false;
		}

		// A peer may have been confirmed by all hosts together; how long it has been without the store goes on counting here.
		storeConfirmedAt = Math.max(storeConfirmedAt ?? 0, askedAt - answer.withoutStoreMs);
		noteConfirmed(askedAt);
		return true;
	};

	const confirmBy = async (address: string) => {
		const askedAt = elapsedClock.elapsed();
		return noteAnswer(await askPeer(address, true), askedAt);
	};

	/** The host that reads the store for all: the first by name that has not failed lately. */
	const getReader = (now: number) => {
		const names = state.hosts.filter(host => !host.gone && now >= (avoidedUntil.get(host.peerAddress) ?? 0));
		return names.toSorted((left, right) => left.name < right.name ? -1 : 1)[0]?.peerAddress;
	};

	const isReader = () => {
		const reader = getReader(clock.now());
		return reader === undefined || reader === options.ownPeerAddress;
	};

	/** Asks the reader, which answers with its next reading; false where this host has to see for itself. */
	const confirmByReader = async () => {
		const reader = getReader(clock.now());
		if (reader === undefined || reader === options.ownPeerAddress) {
			return false;
		}

		const askedAt = elapsedClock.elapsed();
		if (noteAnswer(await askPeer(reader, false), askedAt)) {
			return true;
		}

		log.info('the host that reads the store for all does not confirm', {reader, revision: state.revision});
		avoidedUntil.set(reader, clock.now() + AVOID_READER_MS);
		return false;
	};

	const getOthers = () => {
		const living = state.hosts.filter(host => !host.gone);
		const addresses = living.length > 0 ? living.map(host => host.peerAddress) : options.seeds;
		return addresses.filter(address => address !== options.ownPeerAddress);
	};

	/**
	 * Guards calm traffic in an outage of the store. A change of primary begins with an update of the store by a
	 * registered host. Where every registered host answered, after the question, that it has no such update under way
	 * and holds nothing newer, none had begun at the time of asking; and any that begins later waits for this host's
	 * acknowledgement, or for the end of what this confirmation is good for.
	 *
	 * A host that is not asked could begin one: one that is marked as gone and has come back, or one that registered since this host
	 * read the store. So nobody may be marked, and the store must have been read lately: a new host waits for longer before it replaces anything.
	 */
	const isUnanimous = (answers: ReadonlyArray<ConfirmAnswer | undefined>, revision: number) =>
		state.hosts.length > 0
		&& state.hosts.every(host => !host.gone)
		&& elapsedClock.elapsed() - (storeConfirmedAt ?? Number.NEGATIVE_INFINITY) < LONGEST_WITHOUT_STORE_MS
		&& state.revision === revision
		&& options.getChanging().length === 0
		&& answers.every(answer => answer?.revision === revision && answer.changing.length === 0);

	const askPeers = async () => {
		const others = choosePeers(getOthers());
		const askedAt = elapsedClock.elapsed();
		const {revision} = state;
		const questions = others.map(async address => askPeer(address, true));
		const firstConfirmed = Promise.any(questions.map(async question => noteAnswer(await question, askedAt) || throwNotConfirmed()));
		if (await firstConfirmed.catch(() => false)) {
			return true;
		}

		const answers = await Promise.all(questions);
		if (others.length > 0 && others.length === getOthers().length && isUnanimous(answers, revision)) {
			log.info('every host confirms that no primary is being changed', {revision, hosts: others.length + 1});
			noteConfirmed(askedAt);
			return true;
		}

		return false;
	};

	const confirmOnce = async () => {
		const own = reader.readAfterNow();
		const first: Bounded<boolean> = await withinMs(clock, PEER_HELP_AFTER_MS, own);
		if (!first.timedOut && first.value) {
			return true;
		}

		const helped = askPeers();
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

	/** The next reading at this host's own interval; at once where it does not read at an interval. */
	const readStoreInTurn = async () => isReader()
		? new Promise<boolean>(resolve => {
			inTurn.push(resolve);
		})
		: reader.readAfterNow();

	peers.handle('mirror-confirm', async ({revision, urgent}, from) => {
		heardAt.set(from.address, clock.now());
		const read = await withinMs(clock, urgent ? HELPING_READ_MS : READER_TIMEOUT_MS, urgent ? reader.readAfterNow() : readStoreInTurn());
		return {
			confirmed: !read.timedOut && read.value,
			withoutStoreMs: storeConfirmedAt === undefined ? Number.MAX_SAFE_INTEGER : Math.max(0, elapsedClock.elapsed() - storeConfirmedAt),
			revision: state.revision,
			changing: options.getChanging(),
			...(state.revision > revision && {snapshot: toSnapshot(state)}),
		};
	});

	const run = async () => {
		while (!stopping.signal.aborted) {
			wake = new AbortController();
			if (!await confirmByReader()) {
				const waiting = inTurn.splice(0);
				const confirmed = await confirm();
				for (const resolve of waiting) {
					resolve(confirmed);
				}

				await clock.sleep(CONFIRM_INTERVAL_MS, AbortSignal.any([wake.signal, stopping.signal]));
			}

			await nextTurn();
		}
	};

	return {
		get state() {
			return state;
		},
		get confirmedAt() {
			return confirmedAt;
		},
		get storeConfirmedAt() {
			return storeConfirmedAt;
		},
		confirm,
		confirmSoon() {
			wake.abort();
			if (!isReader()) {
				void confirm();
			}
		},
		confirmBy,
		get readsForAll() {
			return isReader();
		},
		getHeardAt: peerAddress => heardAt.get(peerAddress),
		onChange(listener) {
			listeners.push(listener);
		},
		async start() {
			void run();
		},
		async stop() {
			stopping.abort();
		},
	};
}

function throwNotConfirmed(): never {
	throw new PlatformError('a peer did not confirm');
}
