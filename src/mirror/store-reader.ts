import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {throwPlatformSilent} from '../object-store/platform-errors.js';
import {RecordKind, type MetadataStore} from './metadata-store.js';
import {decodeHosts, decodeLeadership, type MirrorState} from './mirror-state.js';
import {formatPlaced, getGeneration} from './store-generation.js';

/** Reads the store for the mirror. */
export type StoreReader = {
	/** Reads once more after now, shared by all who ask meanwhile; true where the copy was found complete. */
	readAfterNow(): Promise<boolean>;
};

/** What the reader needs. */
export type StoreReaderOptions = {
	readonly store: MetadataStore;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	/** Revision that the copy is complete up to. */
	getRevision(): number;
	/** Takes over what was read. */
	adopt(read: MirrorState): void;
	/** The copy was complete at the elapsed time of asking. */
	onConfirmed(askedAt: number): void;
};

/** Longest call to the store, in milliseconds: the store at a hundred times its usual 4 ms still answers in time. */
const STORE_TIMEOUT_MS = 900;

/**
 * A store that did not answer is left alone for so long, in milliseconds. Guards against an outage in which it refuses at once: whoever waits for
 * evidence asks again and again, each time a priced call, which finds the store's return no sooner.
 */
const PAUSE_AFTER_FAILURE_MS = 200;

/** Creates a reader. */
export function createStoreReader({store, clock, elapsedClock, log, getRevision, adopt, onConfirmed}: StoreReaderOptions): StoreReader {
	let reading: Promise<boolean> | undefined;
	let queued: Promise<boolean> | undefined;
	let reached: boolean | undefined;
	let notBefore = Number.NEGATIVE_INFINITY;

	const noteFailure = (err: unknown) => {
		if (reached !== false) {
			reached = false;
			log.warn('the store does not answer', {reason: (err as Error).message, revision: formatPlaced(getRevision())});
		}
	};

	const noteAnswer = (held: number, answered: number | undefined) => {
		if (reached !== true) {
			reached = true;
			log.info('the store answers', {revision: formatPlaced(getRevision()), held: formatPlaced(held), answered: answered && formatPlaced(answered)});
		}
	};

	/** Whether the copy lacks what the store has by now. Throws PlatformError where the answer is of an earlier generation than the copy, which a peer had read. */
	const isBehind = (answered: number) => {
		if (getGeneration(answered) < getGeneration(getRevision())) {
			throwPlatformSilent('get the revision', new Error('the answer is of an earlier generation of the store'));
		}

		return answered > getRevision();
	};

	const readAll = async () => {
		const [routing, endpoints, leadership, hosts] = await Promise.all([
			store.readRouting(STORE_TIMEOUT_MS),
			store.listEndpoints(STORE_TIMEOUT_MS),
			store.listRecords(RecordKind.Leadership, STORE_TIMEOUT_MS),
			store.listRecords(RecordKind.Hosts, STORE_TIMEOUT_MS),
		]);
		if (new Set([routing, endpoints, leadership, hosts].map(({revision}) => getGeneration(revision))).size > 1) {
			throwPlatformSilent('read all', new Error('the store has come back from a copy meanwhile'));
		}

		adopt({
			revision: Math.min(routing.revision, endpoints.revision, leadership.revision, hosts.revision),
			routing: routing.content,
			endpoints: endpoints.content,
			...decodeLeadership(leadership.content),
			hosts: decodeHosts(hosts.content),
		});
	};

	const readStore = async () => {
		if (clock.now() < notBefore) {
			await clock.sleep(notBefore - clock.now());
		}

		const askedAt = elapsedClock.elapsed();
		try {
			const held = getRevision();
			const answered = held === 0 ? undefined : await store.getRevision(STORE_TIMEOUT_MS);
			// A revision not above the copy's proves the copy complete at the time of asking: each change of anything raises it, and so does each return from a copy.
			if (answered === undefined || isBehind(answered)) {
				await readAll();
			}

			noteAnswer(held, answered);
			onConfirmed(askedAt);
			return true;
		} catch (err) {
			noteFailure(err);
			notBefore = clock.now() + PAUSE_AFTER_FAILURE_MS;
			return false;
		}
	};

	/** One reading at a time; whoever asks meanwhile shares the next one, which begins after the question. */
	const readAfterNow = async (): Promise<boolean> => {
		if (!reading) {
			reading = readStore().finally(() => {
				reading = undefined;
			});
			return reading;
		}

		queued ??= reading.then(async () => {
			queued = undefined;
			return readAfterNow();
		});
		return queued;
	};

	return {readAfterNow};
}
