import {Buffer} from 'node:buffer';
import type {
	ObjectKind, PlatformHost, PlatformList, PlatformObject, PutObject,
} from '../../object-store/platform.js';
import {PlatformRefusedError, throwVersionConflict} from '../../object-store/platform-errors.js';
import type {Clock} from '../../time/clock.js';

/** Maximum size of a value, in bytes of JSON. */
export const MAX_VALUE_BYTES = 1_048_576;

/** Maximum number of past host lists that are kept to simulate the lag. */
const MAX_HOST_SNAPSHOTS = 100;

/** An in-memory model of the platform: versioned objects, watches and the lagging host list, without faults or transport. */
export type ObjectStore = {
	/** Returns an object; undefined if it does not exist. */
	get(kind: ObjectKind, name: string): PlatformObject | undefined;
	/** Lists the objects of a kind whose names begin with `prefix`. */
	list(kind: ObjectKind, prefix: string): PlatformList;
	/** Writes an object at the expected version; throws PlatformConflictError at another version, PlatformRefusedError if the value is over {@link MAX_VALUE_BYTES}. */
	put(object: PutObject): PlatformObject;
	/** Deletes an object at the expected version; throws PlatformConflictError at another version. */
	delete(kind: ObjectKind, name: string, expectedVersion: number): void;
	/** Resolves with the objects that changed after `revision`, including deletions: at once if there are any, otherwise once one changes, or without objects after `waitMs` milliseconds or when aborted. */
	watch(kind: ObjectKind, revision: number, waitMs: number, signal?: AbortSignal): Promise<PlatformList>;
	/** Returns the host list as it was `hostLagMs` milliseconds ago. */
	hosts(): readonly PlatformHost[];
	/** Replaces the actual host list. */
	setHosts(hosts: readonly PlatformHost[]): void;
	/** How far the host list that `hosts` returns lags behind the actual one, in milliseconds. */
	hostLagMs: number;
	/** Number of calls so far; a watch counts as one call however long it waits. */
	readonly calls: Readonly<CallCounts>;
	/** Number of watches that are waiting. */
	readonly waitingWatches: number;
	/** The highest version of any object. */
	readonly revision: number;
};

/** Numbers of calls, by operation. */
export type CallCounts = Record<'get' | 'list' | 'put' | 'delete' | 'watch' | 'hosts', number>;

/** An object as stored; its value is kept as text, so that callers share no objects, and is undefined once it is deleted. */
type StoredObject = {
	readonly version: number;
	readonly text: string | undefined;
};

type HostSnapshot = {
	readonly at: number;
	readonly hosts: readonly PlatformHost[];
};

/** Creates an empty store. */
export function createObjectStore({clock}: {readonly clock: Clock}): ObjectStore {
	const kinds = new Map<ObjectKind, Map<string, StoredObject>>();
	const kindRevisions = new Map<ObjectKind, number>();
	const waiters = new Map<AbortController, ObjectKind>();
	const calls: CallCounts = {
		get: 0, list: 0, put: 0, delete: 0, watch: 0, hosts: 0,
	};
	const snapshots: HostSnapshot[] = [];
	let revision = 0;
	let hostLagMs = 0;

	const getEntries = (kind: ObjectKind) => {
		const entries = kinds.get(kind) ?? new Map<string, StoredObject>();
		kinds.set(kind, entries);
		return entries;
	};

	const getLiveVersion = (kind: ObjectKind, name: string) => {
		const entry = getEntries(kind).get(name);
		return entry?.text === undefined ? 0 : entry.version;
	};

	const applyChange = (kind: ObjectKind, name: string, expectedVersion: number, text: string | undefined) => {
		if (getLiveVersion(kind, name) !== expectedVersion) {
			throwVersionConflict(kind, name, expectedVersion);
		}

		revision++;
		getEntries(kind).set(name, {version: revision, text});
		kindRevisions.set(kind, revision);
		for (const [waiter, waitingKind] of waiters) {
			if (waitingKind === kind) {
				waiter.abort();
			}
		}
	};

	const getChanges = (kind: ObjectKind, after: number) => {
		if ((kindRevisions.get(kind) ?? 0) <= after) {
			return [];
		}

		const changed = [...getEntries(kind)].filter(([, entry]) => entry.version > after);
		return changed.map(([name, entry]) => toObject(kind, name, entry)).toSorted((left, right) => left.version - right.version);
	};

	const waitForChange = async (kind: ObjectKind, waitMs: number, signal: AbortSignal | undefined) => {
		const waiter = new AbortController();
		const abortWait = () => {
			waiter.abort();
		};

		signal?.addEventListener('abort', abortWait, {once: true});
		waiters.set(waiter, kind);
		await clock.sleep(waitMs, waiter.signal);
		waiters.delete(waiter);
		signal?.removeEventListener('abort', abortWait);
	};

	return {
		get(kind, name) {
			calls.get++;
			const entry = getEntries(kind).get(name);
			return entry?.text === undefined ? undefined : toObject(kind, name, entry);
		},
		list(kind, prefix) {
			calls.list++;
			const live = [...getEntries(kind)].filter(([name, entry]) => entry.text !== undefined && name.startsWith(prefix));
			return {revision, objects: live.map(([name, entry]) => toObject(kind, name, entry))};
		},
		put(object) {
			calls.put++;
			const text = JSON.stringify(object.value ?? null);
			if (Buffer.byteLength(text) > MAX_VALUE_BYTES) {
				throw new PlatformRefusedError(`the value is over ${MAX_VALUE_BYTES} bytes`);
			}

			applyChange(object.kind, object.name, object.expectedVersion, text);
			return toObject(object.kind, object.name, {version: revision, text});
		},
		delete(kind, name, expectedVersion) {
			calls.delete++;
			if (expectedVersion === 0) {
				throwVersionConflict(kind, name, expectedVersion);
			}

			applyChange(kind, name, expectedVersion, undefined);
		},
		async watch(kind, after, waitMs, signal) {
			calls.watch++;
			const changes = getChanges(kind, after);
			if (changes.length > 0 || waitMs <= 0) {
				return {revision, objects: changes};
			}

			await waitForChange(kind, waitMs, signal);
			return {revision, objects: getChanges(kind, after)};
		},
		hosts() {
			calls.hosts++;
			const asOf = clock.now() - hostLagMs;
			return snapshots.findLast(snapshot => snapshot.at <= asOf)?.hosts ?? snapshots[0]?.hosts ?? [];
		},
		setHosts(hosts) {
			snapshots.push({at: clock.now(), hosts: structuredClone(hosts)});
			snapshots.splice(0, Math.max(0, snapshots.length - MAX_HOST_SNAPSHOTS));
		},
		get hostLagMs() {
			return hostLagMs;
		},
		set hostLagMs(lagMs) {
			hostLagMs = lagMs;
		},
		get calls() {
			return {...calls};
		},
		get waitingWatches() {
			return waiters.size;
		},
		get revision() {
			return revision;
		},
	};
}

function toObject(kind: ObjectKind, name: string, {version, text}: StoredObject): PlatformObject {
	if (text === undefined) {
		return {
			kind, name, version, value: null, deleted: true,
		};
	}

	return {
		kind, name, version, value: JSON.parse(text) as unknown,
	};
}
