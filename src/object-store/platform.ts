/**
 * The interface to the platform: its object API and its host list. `http-platform.ts` implements it over HTTP;
 * tests use an in-memory store.
 */

/** The kinds of object in the platform's store. */
export const ObjectKind = {
	/** A database group's configuration with its recent audit entries; the object's name is that of the group. */
	Group: 'group',
	/** A claim of the next term; the object's name is that of the group. */
	Claim: 'claim',
	/** The operators' tokens as hashes, and other settings of the whole system. */
	System: 'system',
	/** Batches of explanations. */
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
	/** True in the response to a watch for an object that was deleted. */
	readonly deleted?: boolean;
};

/** Objects as of one store revision. */
export type PlatformList = {
	readonly revision: number;
	readonly objects: readonly PlatformObject[];
};

/** A host in the platform's host list, which lags behind. */
export type PlatformHost = {
	readonly name: string;
	readonly role: 'proxy' | 'endpoint';
	/** For a proxy the `ip:port` on which it accepts calls of its peers, for an endpoint that of its database server. */
	readonly address: string;
	readonly availabilityZone: string;
	readonly state: 'live' | 'leaving';
};

/** The platform's service. Every call rejects with PlatformError where no usable response arrives within `timeoutMs` milliseconds. */
export type Platform = {
	/** Returns an object; undefined where it does not exist. */
	get(kind: ObjectKind, name: string, timeoutMs: number): Promise<PlatformObject | undefined>;
	/** Lists the objects of a kind whose names begin with `prefix`. */
	list(kind: ObjectKind, prefix: string, timeoutMs: number): Promise<PlatformList>;
	/** Writes an object if its version is still `expectedVersion` (0: it must not exist); otherwise rejects with PlatformConflictError. */
	put(object: PutObject, timeoutMs: number): Promise<PlatformObject>;
	/** Deletes an object under the same condition as `put`. */
	delete(kind: ObjectKind, name: string, expectedVersion: number, timeoutMs: number): Promise<void>;
	/** Resolves with the objects of the kind that changed after `revision`: at once if there are any, otherwise once one changes, or without objects after `waitMs` milliseconds. */
	watch(kind: ObjectKind, revision: number, waitMs: number, timeoutMs: number): Promise<PlatformList>;
	/** Lists the live and leaving hosts; the list lags behind the actual state. */
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
