import type {RegisteredEndpoint, Routing} from '../routes/routing.js';

/** The kinds of record that the proxies keep in the platform's store. */
export const RecordKind = {
	/** The primary of each group, and the failover lease. */
	Leadership: 'leadership',
	/** The proxies themselves. */
	Hosts: 'hosts',
} as const;

/** One of the kinds in {@link RecordKind}. */
export type RecordKind = typeof RecordKind[keyof typeof RecordKind];

/** A record that the proxies keep for themselves. */
export type StoredRecord = {
	readonly name: string;
	/** Store-wide revision of its last change, from 1, qualified by the generation in which it was read; the condition of the next update. */
	readonly version: number;
	readonly value: unknown;
};

/** Something read from the store, with the revision that it is complete up to. */
export type AtRevision<T> = {
	/** Qualified by the generation in which it was read. */
	readonly revision: number;
	readonly content: T;
};

/**
 * The platform's store. Every call is linearizable, and rejects with PlatformError if no response arrives within
 * `timeoutMs`: a requested change may then still take effect, even seconds later, while its condition holds.
 *
 * The store may be restored from a backup and lose acknowledged changes; its revisions and versions then belong to the next generation.
 */
export type MetadataStore = {
	/** Returns the store's revision, which grows with each change of anything in the store and with each restore from a backup. */
	getRevision(timeoutMs: number): Promise<number>;
	/** Reads the configuration in force; undefined before the first. */
	readRouting(timeoutMs: number): Promise<AtRevision<Routing | undefined>>;
	listEndpoints(timeoutMs: number): Promise<AtRevision<readonly RegisteredEndpoint[]>>;
	listRecords(kind: RecordKind, timeoutMs: number): Promise<AtRevision<readonly StoredRecord[]>>;
	/** Writes the record if it still has the version that `record` names (0: it must not exist); otherwise rejects with PlatformConflictError. */
	putRecord(kind: RecordKind, record: StoredRecord, timeoutMs: number): Promise<StoredRecord>;
	/** Deletes the record if it still has `expectedVersion`; otherwise rejects with PlatformConflictError. */
	deleteRecord(kind: RecordKind, name: string, expectedVersion: number, timeoutMs: number): Promise<void>;
};
