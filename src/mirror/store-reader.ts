import type {Log} from '../log/log.js';
import type {Routing} from '../routes/routing.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {throwPlatformSilent} from '../object-store/platform-errors.js';
import {withinMs} from '../time/deadline.js';
import {RecordKind, type AtRevision, type MetadataStore} from './metadata-store.js';
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
	/** Returns the configuration that the copy holds. */
	getRouting(): Routing | undefined;
	/** Whether the configuration is complete up to the revision of the copy. */
	isRoutingComplete(): boolean;
	/** Whether this host may read the configuration, which can be large, and does not leave that to another one. */
	mayReadRouting(): boolean;
	/** Applies what was read; the configuration is complete up to `routingRevision`, or the one held where that is undefined. */
	adopt(read: MirrorState, routingRevision: number | undefined): void;
	/** Applies a configuration that arrived after the other parts; it was requested at the elapsed time `askedAt`. */
	adoptRouting(read: AtRevision<Routing | undefined>, askedAt: number): void;
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

/**
 * Time for which the other parts of the store wait for the configuration, in milliseconds, so that a change of several parts is applied at once where links are fast. After
 * that they are applied without it: primary leases must not wait for a large configuration on a slow link. Shorter than the time after which peers are asked to read the store.
 */
const ROUTING_WAIT_MS = 100;

type ArrivedRouting = AtRevision<Routing | undefined> & {readonly askedAt: number};

/** Creates a reader that keeps one read in progress at a time. */
export function createStoreReader(options: StoreReaderOptions): StoreReader {
	const {store, clock, elapsedClock, log, getRevision, adopt, onConfirmed} = options;
	/** The configuration that is arriving; a later read waits for it too, since requested twice it would take twice as long. */
	let arriving: Promise<ArrivedRouting> | undefined;
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

	const receiveRouting = async (): Promise<ArrivedRouting> => {
		const askedAt = elapsedClock.elapsed();
		try {
			return {...await store.readRouting(STORE_TIMEOUT_MS), askedAt};
		} finally {
			arriving = undefined;
		}
	};

	const readRouting = async (): Promise<ArrivedRouting> => {
		arriving ??= receiveRouting();
		return arriving;
	};

	const readRoutingLater = (routing: Promise<ArrivedRouting>) => {
		routing.then(read => {
			options.adoptRouting(read, read.askedAt);
		}).catch((err: unknown) => {
			log.warn('the configuration was not read', {reason: (err as Error).message, revision: formatQualified(getRevision())});
		});
	};

	/** Returns the configuration if it arrives soon; undefined if it is read later. */
	const readRoutingSoon = async (): Promise<ArrivedRouting | undefined> => {
		const routing = readRouting();
		const soon = await withinMs(clock, ROUTING_WAIT_MS, routing);
		if (!soon.timedOut) {
			return soon.value;
		}

		readRoutingLater(routing);
		return undefined;
	};

	const completeRouting = async () => {
		const routing = await readRoutingSoon();
		if (routing) {
			options.adoptRouting(routing, routing.askedAt);
		}
	};

	const readAll = async (isFirst: boolean) => {
		const [routing, endpoints, leadership, hosts] = await Promise.all([
			isFirst ? readRouting() : (options.mayReadRouting() ? readRoutingSoon() : undefined),
			store.listEndpoints(STORE_TIMEOUT_MS),
			store.listRecords(RecordKind.Leadership, STORE_TIMEOUT_MS),
			store.listRecords(RecordKind.Hosts, STORE_TIMEOUT_MS),
		]);
		const parts = [endpoints, leadership, hosts, ...(routing ? [routing] : [])];
		if (new Set(parts.map(({revision}) => getGeneration(revision))).size > 1) {
			throwPlatformSilent('read all', new Error('the store has come back from a copy meanwhile'));
		}

		adopt({
			revision: Math.min(...parts.map(({revision}) => revision)),
			routing: routing ? routing.content : options.getRouting(),
			endpoints: endpoints.content,
			...decodeLeadership(leadership.content),
			hosts: decodeHosts(hosts.content),
		}, routing?.revision);
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
				await readAll(current === undefined);
			} else if (!options.isRoutingComplete() && options.mayReadRouting()) {
				await completeRouting();
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
