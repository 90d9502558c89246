import type {RegisteredEndpoint, Routing} from '../routes/routing.js';

/** The kinds of record that the proxies keep in the platform's store. */
export const RecordKind = {
	/** Who leads each group, and who may change that. */
	Leadership: 'leadership',
	/** The proxies themselves. */
	Hosts: 'hosts',
} as const;

/** One of the kinds in {@link RecordKind}. */
export type RecordKind = typeof RecordKind[keyof typeof RecordKind];

/** A record of the proxies' own. */
export type StoredRecord = {
	readonly name: string;
	/** Store-wide revision at which it last changed, from 1, placed in the generation that it was read in; the condition of the next update. */
	readonly version: number;
	readonly value: unknown;
};

/** Something read from the store, with the revision that it is complete up to. */
export type AtRevision<T> = {
	/** Placed in the generation that it was read in. */
	readonly revision: number;
	readonly content: T;
};

/**
 * The platform's store. Every call is linearizable, and rejects with PlatformError where no answer came within
 * `timeoutMs`: a change asked for may then take effect, even seconds later, while its condition holds.
 *
 * The store may come back from a copy and lose what it has acknowledged; its revisions and versions are then of the next generation.
 */
export type MetadataStore = {
	/** The store's revision: it grows with each change of anything in it, and with each return from a copy. */
	getRevision(timeoutMs: number): Promise<number>;
	/** The configuration in force; undefined before the first. */
	readRouting(timeoutMs: number): Promise<AtRevision<Routing | undefined>>;
	listEndpoints(timeoutMs: number): Promise<AtRevision<readonly RegisteredEndpoint[]>>;
	listRecords(kind: RecordKind, timeoutMs: number): Promise<AtRevision<readonly StoredRecord[]>>;
	/** Writes only where the record still has `expectedVersion` (0: must not exist); else rejects with PlatformConflictError. */
	putRecord(kind: RecordKind, record: StoredRecord, timeoutMs: number): Promise<StoredRecord>;
	/** Deletes under the same condition. */
	deleteRecord(kind: RecordKind, name: string, expectedVersion: number, timeoutMs: number): Promise<void>;
};
