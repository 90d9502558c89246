import type {Log} from '../log/log.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {throwPlatformSilent} from '../object-store/platform-errors.js';
import {RecordKind, type MetadataStore} from './metadata-store.js';
import {decodeHosts, decodeLeadership, type MirrorState} from './mirror-state.js';
import {formatQualified, getGeneration} from './store-generation.js';

/** Reads the store for the mirror. */
export type StoreReader = {
	/** Reads the store once after this call, shared by all that call meanwhile; resolves with whether the copy was confirmed to be complete. */
	readAfterNow(): Promise<boolean>;
};

/** What the reader needs. */
export type StoreReaderOptions = {
	readonly store: MetadataStore;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	/** Returns the revision that the copy is complete up to. */
	getRevision(): number;
	/** Applies what was read. */
	adopt(read: MirrorState): void;
	/** Called when the copy is confirmed to have been complete at the elapsed time `askedAt` of the request. */
	onConfirmed(askedAt: number): void;
};

/** Timeout of a call to the store, in milliseconds: a store that takes a hundred times its usual 4 ms still responds in time. */
const STORE_TIMEOUT_MS = 900;

/**
 * Pause after a call to the store that failed, in milliseconds. Guards against an outage in which the store refuses at once: work that waits for
 * a primary lease would request read after read, each a billed call, without detecting any sooner that the store has recovered.
 */
const PAUSE_AFTER_FAILURE_MS = 200;

/** Creates a reader that keeps one read in progress at a time. */
export function createStoreReader({store, clock, elapsedClock, log, getRevision, adopt, onConfirmed}: StoreReaderOptions): StoreReader {
	let reading: Promise<boolean> | undefined;
	let queued: Promise<boolean> | undefined;
	let reached: boolean | undefined;
	let notBefore = Number.NEGATIVE_INFINITY;

	const noteFailure = (err: unknown) => {
		if (reached !== false) {
			reached = false;
			log.warn('the store does not answer', {reason: (err as Error).message, revision: formatQualified(getRevision())});
		}
	};

	const noteSuccess = (held: number, current: number | undefined) => {
		if (reached !== true) {
			reached = true;
			log.info('the store answers', {revision: formatQualified(getRevision()), held: formatQualified(held), answered: current && formatQualified(current)});
		}
	};

	/** Returns whether the store is ahead of the copy. Throws PlatformError if the response is of an earlier generation than the copy, which then came from a peer. */
	const isBehind = (current: number) => {
		if (getGeneration(current) < getGeneration(getRevision())) {
			throwPlatformSilent('get the revision', new Error('the answer is of an earlier generation of the store'));
		}

		return current > getRevision();
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
			const current = held === 0 ? undefined : await store.getRevision(STORE_TIMEOUT_MS);
			// A revision not above the copy's proves that the copy was complete at the time of the request: each change raises it, and so does each store restore.
			if (current === undefined || isBehind(current)) {
				await readAll();
			}

			noteSuccess(held, current);
			onConfirmed(askedAt);
			return true;
		} catch (err) {
			noteFailure(err);
			notBefore = clock.now() + PAUSE_AFTER_FAILURE_MS;
			return false;
		}
	};

	/** Runs one read at a time; callers that come meanwhile share the next one, which begins after their call. */
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
