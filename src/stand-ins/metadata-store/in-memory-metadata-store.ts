import {RecordKind, type MetadataStore, type StoredRecord} from '../../mirror/metadata-store.js';
import {getWithinGeneration, qualifyByGeneration} from '../../mirror/store-generation.js';
import {PlatformConflictError, throwPlatformSilent, throwVersionConflict} from '../../object-store/platform-errors.js';
import type {Random} from '../../random/random.js';
import type {RegisteredEndpoint, Routing} from '../../routes/routing.js';
import type {Clock} from '../../time/clock.js';

/** How the store treats one host, or all. */
export type StoreTrouble = {
	/** Calls are refused at once and not done. */
	readonly refused: boolean;
	/** Calls are not done and never answered. */
	readonly silent: boolean;
	/** Share of changes that are done and not answered. */
	readonly loseShare: number;
	/** Changes that are not answered are done up to so much later, in milliseconds, if their condition still holds. */
	readonly lateMs: number;
	/** Time of an answer, in milliseconds. */
	readonly answerMs: number;
};

/** What a store held at one moment. */
export type StoreCopy = {
	readonly revision: number;
	readonly routing?: Routing;
	readonly endpoints: readonly RegisteredEndpoint[];
	readonly records: ReadonlyMap<RecordKind, ReadonlyMap<string, StoredRecord>>;
};

/** A store in memory, with what goes wrong with it. */
export type InMemoryMetadataStore = {
	/** The store as one host sees it. */
	getClient(hostName: string): MetadataStore;
	/** What the operator and the endpoints write; each raises the revision. */
	setRouting(routing: Routing): void;
	setEndpoints(endpoints: readonly RegisteredEndpoint[]): void;
	getRecord(kind: RecordKind, name: string): StoredRecord | undefined;
	/** Copies what the store holds at this moment. */
	takeCopy(): StoreCopy;
	/**
	 * Has the store come back from an earlier copy: what it acknowledged since is gone, and its revisions are given out again. What the operator and the endpoints
	 * wrote last is written again `rewriteMs` later, at once by default.
	 */
	restore(copy: StoreCopy, rewriteMs?: number): void;
	/** Sets how the store treats a host; undefined for all that have no trouble of their own. */
	setTrouble(hostName: string | undefined, trouble: Partial<StoreTrouble>): void;
	/** Ends all trouble. */
	heal(): void;
	/** Calls so far. */
	readonly calls: number;
};

const NO_TROUBLE: StoreTrouble = {
	refused: false, silent: false, loseShare: 0, lateMs: 0, answerMs: 4,
};

/** Creates an empty store. */
export function createInMemoryMetadataStore(clock: Clock, random: Random): InMemoryMetadataStore {
	const records = new Map<RecordKind, Map<string, StoredRecord>>([[RecordKind.Leadership, new Map()], [RecordKind.Hosts, new Map()]]);
	const troubles = new Map<string | undefined, StoreTrouble>();
	let revision = 1;
	let generation = 0;
	let routing: Routing | undefined;
	let endpoints: readonly RegisteredEndpoint[] = [];
	let calls = 0;

	const getTrouble = (hostName: string) => troubles.get(hostName) ?? troubles.get(undefined) ?? NO_TROUBLE;

	const silence = async (what: string, timeoutMs: number): Promise<never> => {
		await clock.sleep(timeoutMs);
		return throwPlatformSilent(what);
	};

	const call = async <T>(hostName: string, what: string, timeoutMs: number, perform: () => T): Promise<T> => {
		calls++;
		const {refused, silent, answerMs} = getTrouble(hostName);
		await clock.sleep(Math.min(answerMs, timeoutMs) / 2);
		if (refused) {
			throwPlatformSilent(what, new Error('refused'));
		}

		if (silent || answerMs > timeoutMs) {
			return silence(what, timeoutMs);
		}

		const result = perform();
		await clock.sleep(answerMs / 2);
		return result;
	};

	const change = async <T>(hostName: string, what: string, timeoutMs: number, perform: () => T): Promise<T> => {
		const {loseShare, lateMs} = getTrouble(hostName);
		if (random.fraction() >= loseShare) {
			return call(hostName, what, timeoutMs, perform);
		}

		void clock.sleep(random.fraction() * lateMs).then(() => {
			try {
				perform();
			} catch (err) {
				// A change whose condition no longer holds is not done, and nobody is there to be told.
				if (!(err instanceof PlatformConflictError)) {
					throw err;
				}
			}
		});
		return silence(what, timeoutMs);
	};

	const setRouting = (next: Routing) => {
		routing = next;
		revision++;
	};

	const setEndpoints = (next: readonly RegisteredEndpoint[]) => {
		endpoints = next;
		revision++;
	};

	const writeAgain = (lastRouting: Routing | undefined, lastEndpoints: readonly RegisteredEndpoint[]) => {
		if (lastRouting && lastRouting.version > (routing?.version ?? 0)) {
			setRouting(lastRouting);
		}

		if (lastEndpoints !== endpoints) {
			setEndpoints(lastEndpoints);
		}
	};

	/** Compares versions as the store gave them out, which hold by chance where the expected one is of an earlier generation. */
	const check = (kind: RecordKind, name: string, expectedVersion: number) => {
		if ((records.get(kind)!.get(name)?.version ?? 0) !== getWithinGeneration(expectedVersion)) {
			throwVersionConflict(kind, name, expectedVersion);
		}
	};

	const place = (number: number) => qualifyByGeneration(generation, number);

	const placeRecord = (record: StoredRecord): StoredRecord => ({...record, version: place(record.version)});

	return {
		get calls() {
			return calls;
		},
		getClient: hostName => ({
			getRevision: async timeoutMs => call(hostName, 'get revision', timeoutMs, () => place(revision)),
			readRouting: async timeoutMs => call(hostName, 'read routing', timeoutMs, () => ({revision: place(revision), content: routing})),
			listEndpoints: async timeoutMs => call(hostName, 'list endpoints', timeoutMs, () => ({revision: place(revision), content: endpoints})),
			listRecords: async (kind, timeoutMs) => call(hostName, `list ${kind}`, timeoutMs, () => ({
				revision: place(revision), content: [...records.get(kind)!.values()].map(record => placeRecord(record)),
			})),
			putRecord: async (kind, {name, version, value}, timeoutMs) => change(hostName, `put ${name}`, timeoutMs, () => {
				check(kind, name, version);
				const record = {name, version: ++revision, value: structuredClone(value)};
				records.get(kind)!.set(name, record);
				return placeRecord(record);
			}),
			deleteRecord: async (kind, name, expectedVersion, timeoutMs) => change(hostName, `delete ${name}`, timeoutMs, () => {
				check(kind, name, expectedVersion);
				records.get(kind)!.delete(name);
				revision++;
			}),
		}),
		setRouting,
		setEndpoints,
		takeCopy: () => ({
			revision, routing, endpoints, records: new Map([...records].map(([kind, byName]) => [kind, new Map(byName)])),
		}),
		restore(copy, rewriteMs = 0) {
			const last = {routing, endpoints};
			({revision, routing, endpoints} = copy);
			generation++;
			for (const [kind, byName] of copy.records) {
				records.set(kind, new Map(byName));
			}

			if (rewriteMs === 0) {
				writeAgain(last.routing, last.endpoints);
				return;
			}

			void clock.sleep(rewriteMs).then(() => {
				writeAgain(last.routing, last.endpoints);
			});
		},
		getRecord(kind, name) {
			const record = records.get(kind)!.get(name);
			return record && placeRecord(record);
		},
		setTrouble(hostName, trouble) {
			troubles.set(hostName, {...NO_TROUBLE, ...trouble});
		},
		heal() {
			troubles.clear();
		},
	};
}
