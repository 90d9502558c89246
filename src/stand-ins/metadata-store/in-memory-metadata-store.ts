import {RecordKind, type MetadataStore, type StoredRecord} from '../../mirror/metadata-store.js';
import {getWithinGeneration, qualifyByGeneration} from '../../mirror/store-generation.js';
import {PlatformConflictError, throwPlatformSilent, throwVersionConflict} from '../../object-store/platform-errors.js';
import {decodeEndpoint, storeObjectSchema} from '../../platform/store-schemas.js';
import type {Random} from '../../random/random.js';
import type {RegisteredEndpoint, Routing} from '../../routes/routing.js';
import type {Clock} from '../../time/clock.js';

/** Faults of the store's calls for one host, or for all hosts. */
export type StoreFaults = {
	/** Calls are refused without being executed. */
	readonly refused: boolean;
	/** Calls are neither executed nor answered. */
	readonly silent: boolean;
	/** Share of changes that are executed and not answered. */
	readonly loseShare: number;
	/** Maximum delay before an unanswered change is executed, in milliseconds; it is dropped where its condition no longer holds by then. */
	readonly lateMs: number;
	/** Time from a call to its response, in milliseconds; a call whose timeout is shorter is not executed. */
	readonly responseMs: number;
};

/** A backup: the contents of a store at one moment. */
export type StoreBackup = {
	readonly revision: number;
	readonly routing?: Routing;
	readonly endpoints: readonly RegisteredEndpoint[];
	readonly records: ReadonlyMap<RecordKind, ReadonlyMap<string, StoredRecord>>;
};

/** A metadata store in memory with fault injection. */
export type InMemoryMetadataStore = {
	/** Returns the client of one host, to which that host's faults apply. */
	getClient(hostName: string): MetadataStore;
	/** Writes the routing as the operator does, and raises the revision. */
	setRouting(routing: Routing): void;
	/** Writes the registered endpoints, and raises the revision. */
	setEndpoints(endpoints: readonly RegisteredEndpoint[]): void;
	/** Writes entries beside the registered endpoints as another program does, which may be of any form, and raises the revision. */
	setForeignEntries(entries: readonly unknown[]): void;
	getRecord(kind: RecordKind, name: string): StoredRecord | undefined;
	/** Returns a copy of the store's current contents. */
	takeBackup(): StoreBackup;
	/**
	 * Restores the store from an earlier backup: changes that it acknowledged since are lost, and their revisions are assigned again to other changes. The last
	 * routing and endpoints are written again after `rewriteMs` milliseconds, immediately by default.
	 */
	restore(copy: StoreBackup, rewriteMs?: number): void;
	/** Sets the faults for a host; without a name, for all hosts that have none of their own. */
	setFaults(hostName: string | undefined, faults: Partial<StoreFaults>): void;
	/** Removes the faults set for a host; without a name, those for all hosts that have none of their own. */
	clearFaults(hostName: string | undefined): void;
	/** Removes all faults. */
	heal(): void;
	/** Number of calls so far. */
	readonly calls: number;
};

const NO_FAULTS: StoreFaults = {
	refused: false, silent: false, loseShare: 0, lateMs: 0, responseMs: 4,
};

/** Creates an empty store. */
export function createInMemoryMetadataStore(clock: Clock, random: Random): InMemoryMetadataStore {
	const records = new Map<RecordKind, Map<string, StoredRecord>>([[RecordKind.Leadership, new Map()], [RecordKind.Hosts, new Map()]]);
	const faultsByHost = new Map<string | undefined, StoreFaults>();
	let revision = 1;
	let generation = 0;
	let routing: Routing | undefined;
	let endpoints: readonly RegisteredEndpoint[] = [];
	let foreignEntries: readonly unknown[] = [];
	let calls = 0;

	const getFaults = (hostName: string) => faultsByHost.get(hostName) ?? faultsByHost.get(undefined) ?? NO_FAULTS;

	const timeOut = async (callName: string, timeoutMs: number): Promise<never> => {
		await clock.sleep(timeoutMs);
		return throwPlatformSilent(callName);
	};

	const call = async <T>(hostName: string, callName: string, timeoutMs: number, perform: () => T): Promise<T> => {
		calls++;
		const {refused, silent, responseMs: roundTripMs} = getFaults(hostName);
		await clock.sleep(Math.min(roundTripMs, timeoutMs) / 2);
		if (refused) {
			throwPlatformSilent(callName, new Error('refused'));
		}

		if (silent || roundTripMs > timeoutMs) {
			return timeOut(callName, timeoutMs);
		}

		const result = perform();
		await clock.sleep(roundTripMs / 2);
		return result;
	};

	const change = async <T>(hostName: string, callName: string, timeoutMs: number, perform: () => T): Promise<T> => {
		const {loseShare, lateMs} = getFaults(hostName);
		if (random.fraction() >= loseShare) {
			return call(hostName, callName, timeoutMs, perform);
		}

		void clock.sleep(random.fraction() * lateMs).then(() => {
			try {
				perform();
			} catch (err) {
				// The condition no longer holds, so the change is not executed. Its caller gets no response in either case.
				if (!(err instanceof PlatformConflictError)) {
					throw err;
				}
			}
		});
		return timeOut(callName, timeoutMs);
	};

	const setRouting = (next: Routing) => {
		routing = next;
		revision++;
	};

	const setEndpoints = (next: readonly RegisteredEndpoint[]) => {
		endpoints = next;
		revision++;
	};

	/** Returns the endpoints, with those that foreign entries define. */
	const listEndpoints = (): readonly RegisteredEndpoint[] => foreignEntries.length === 0
		? endpoints
		: [...endpoints, ...foreignEntries.flatMap(entry => {
			const object = storeObjectSchema.safeParse(entry);
			return (object.data && decodeEndpoint(object.data)) ?? [];
		})];

	const rewriteNewer = (lastRouting: Routing | undefined, lastEndpoints: readonly RegisteredEndpoint[]) => {
		if (lastRouting && lastRouting.version > (routing?.version ?? 0)) {
			setRouting(lastRouting);
		}

		if (lastEndpoints !== endpoints) {
			setEndpoints(lastEndpoints);
		}
	};

	/** Compares versions without their generations, so an expected version of an earlier generation may match by chance. */
	const checkVersion = (kind: RecordKind, name: string, expectedVersion: number) => {
		if ((records.get(kind)!.get(name)?.version ?? 0) !== getWithinGeneration(expectedVersion)) {
			throwVersionConflict(kind, name, expectedVersion);
		}
	};

	const qualify = (number: number) => qualifyByGeneration(generation, number);

	const qualifyRecord = (record: StoredRecord): StoredRecord => ({...record, version: qualify(record.version)});

	return {
		get calls() {
			return calls;
		},
		getClient: hostName => ({
			getRevision: async timeoutMs => call(hostName, 'get revision', timeoutMs, () => qualify(revision)),
			readRouting: async timeoutMs => call(hostName, 'read routing', timeoutMs, () => ({revision: qualify(revision), content: routing})),
			listEndpoints: async timeoutMs => call(hostName, 'list endpoints', timeoutMs, () => ({revision: qualify(revision), content: listEndpoints()})),
			listRecords: async (kind, timeoutMs) => call(hostName, `list ${kind}`, timeoutMs, () => ({
				revision: qualify(revision), content: [...records.get(kind)!.values()].map(record => qualifyRecord(record)),
			})),
			putRecord: async (kind, {name, version, value}, timeoutMs) => change(hostName, `put ${name}`, timeoutMs, () => {
				checkVersion(kind, name, version);
				const record = {name, version: ++revision, value: structuredClone(value)};
				records.get(kind)!.set(name, record);
				return qualifyRecord(record);
			}),
			deleteRecord: async (kind, name, expectedVersion, timeoutMs) => change(hostName, `delete ${name}`, timeoutMs, () => {
				checkVersion(kind, name, expectedVersion);
				records.get(kind)!.delete(name);
				revision++;
			}),
		}),
		setRouting,
		setEndpoints,
		setForeignEntries(entries) {
			foreignEntries = entries;
			revision++;
		},
		takeBackup: () => ({
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
				rewriteNewer(last.routing, last.endpoints);
				return;
			}

			void clock.sleep(rewriteMs).then(() => {
				rewriteNewer(last.routing, last.endpoints);
			});
		},
		getRecord(kind, name) {
			const record = records.get(kind)!.get(name);
			return record && qualifyRecord(record);
		},
		setFaults(hostName, faults) {
			faultsByHost.set(hostName, {...NO_FAULTS, ...faults});
		},
		clearFaults(hostName) {
			faultsByHost.delete(hostName);
		},
		heal() {
			faultsByHost.clear();
		},
	};
}
