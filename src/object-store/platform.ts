/**
 * The seam to the platform: its object API and its host list. `http-platform.ts` speaks it over HTTP,
 * tests plug in an in-memory store.
 */

/** The kinds of object kept in the platform's store. */
export const ObjectKind = {
	/** A database group's configuration, name = group; with its recent audit entries. */
	Group: 'group',
	/** A claim of the next term, name = group. */
	Claim: 'claim',
	/** Operators' tokens as hashes, and other settings of the whole system; one object. */
	System: 'system',
	/** Batched explanations. */
	Explanations: 'explanations',
	/** Archived audit entries. */
	Audit: 'audit',
} as const;

/** One of the kinds in {@link ObjectKind}. */
export type ObjectKind = typeof ObjectKind[keyof typeof ObjectKind];

/** An object in the store. */
export type PlatformObject = {
	readonly kind: ObjectKind;
	readonly name: string;
	/** Store-wide revision at which this object last changed, from 1. */
	readonly version: number;
	readonly value: unknown;
	/** True in a watch for an object that was deleted. */
	readonly deleted?: boolean;
};

/** A page of objects as of one store revision. */
export type PlatformList = {
	readonly revision: number;
	readonly objects: readonly PlatformObject[];
};

/** A host as the platform's lagging list has it. */
export type PlatformHost = {
	readonly name: string;
	readonly role: 'proxy' | 'endpoint';
	/** For a proxy the `ip:port` on which it answers its peers, for an endpoint that of its database server. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
};

/** The platform's service. Every call rejects with PlatformError when it brought no answer within `timeoutMs`. */
export type Platform = {
	get(kind: ObjectKind, name: string, timeoutMs: number): Promise<PlatformObject | undefined>;
	list(kind: ObjectKind, prefix: string, timeoutMs: number): Promise<PlatformList>;
	/** Writes only where the object still has `expectedVersion` (0: must not exist); else rejects with PlatformConflictError. */
	put(object: PutObject, timeoutMs: number): Promise<PlatformObject>;
	/** Deletes under the same condition as put. */
	delete(kind: ObjectKind, name: string, expectedVersion: number, timeoutMs: number): Promise<void>;
	/** Answers with the objects of the kind that changed after `revision`, at once or when one does, empty after `waitMs`. */
	watch(kind: ObjectKind, revision: number, waitMs: number, timeoutMs: number): Promise<PlatformList>;
	/** Lists the live and leaving hosts; lags behind the truth. */
	hosts(timeoutMs: number): Promise<readonly PlatformHost[]>;
};

/** A conditional write. */
export type PutObject = {
	readonly kind: ObjectKind;
	readonly name: string;
	readonly value: unknown;
	readonly expectedVersion: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		platform: Platform;
	}
}
