import type {Log} from '../log/log.js';
import type {PlatformList, PlatformObject} from '../object-store/platform.js';
import {throwGroupUnknown} from './configuration-errors.js';
import type {Configuration, VersionedGroup} from './configuration.js';
import {
	checkEntry, checkStoredGroup, type CheckedEntry, type GroupEntry,
} from './group-entry.js';

/**
 * The configuration in force, with the members that the watch of the store and the exchange with peers use.
 *
 * `revision` is the store revision up to which this host has received every change; an offer of a single group never raises it.
 */
export type ConfigurationState = Configuration & {
	/** Applies a full list of the groups in the store. */
	applyList(list: PlatformList, now: number): void;
	/** Applies the changes in the store after some revision that was not above `revision`. */
	applyChanges(changes: PlatformList, now: number): void;
	/** Applies the entries that a peer holds above `since`, once all its pages have arrived. */
	applyPeerEntries(received: PeerEntries): void;
	/** Applies one entry that this host requested from a peer; returns whether it came into force. */
	applyPeerEntry(candidate: unknown): boolean;
	/** Applies an entry that a peer offers unasked, as `offer` does; returns whether it came into force. */
	applyOffer(candidate: unknown): boolean;
	/** Calls the listener after every offer that comes into force, but not for entries from other sources. */
	onOffer(listener: (entry: GroupEntry) => void): void;
	/** Returns the entry in force for a group, deleted or not. */
	getEntry(name: string): GroupEntry | undefined;
	/** Returns the entries in force above a version, including those of deleted groups, sorted by name. */
	getEntries(since: number): readonly GroupEntry[];
};

/** The entries that a peer holds above a version. */
export type PeerEntries = {
	/** The version above which entries were requested. */
	readonly since: number;
	/** The peer's own `revision` when it made the first page. */
	readonly revision: number;
	/** Whether the peer itself had received the whole configuration. */
	readonly loaded: boolean;
	readonly entries: readonly unknown[];
};

/** Creates an empty configuration. */
export function createConfiguration({log}: {readonly log: Log}): ConfigurationState {
	const ownLog = log.withPrefix('configuration: ');
	const entries = new Map<string, GroupEntry>();
	/** Versions from the store that were rejected as malformed, by group name. */
	const malformed = new Map<string, number>();
	const changeListeners: Array<(name: string, current: VersionedGroup) => void> = [];
	const offerListeners: Array<(entry: GroupEntry) => void> = [];
	let loaded = false;
	let revision = 0;
	let lastStoreResponseAt = -Infinity;

	/*
	 * Failure: a late response, a stale peer or a proxy that restarted from one delivers an older version, and an
	 * accepted drain order or limit is undone on this host alone. Versions only rise in the store, so the highest
	 * version received is the newest accepted one, whatever its source.
	 *
	 * If every change up to the candidate's version was received and the group is unknown here, the group was deleted
	 * and the sender missed that, unless the sender is the store itself and its list is not older than `revision`. If
	 * the store's own object was rejected as malformed, an older valid version is still accepted.
	 */
	const isSuperseded = ({name, version}: GroupEntry, asOf: number) => {
		const current = entries.get(name);
		const wasDeleted = version <= revision && asOf < revision && !malformed.has(name);
		return current ? version <= current.version : wasDeleted;
	};

	const notify = (entry: GroupEntry) => {
		for (const listener of changeListeners) {
			try {
				listener(entry.name, entry);
			} catch (err) {
				ownLog.error('a listener failed on a change', {group: entry.name, err});
			}
		}
	};

	/** @param asOf The store revision of the response that contained the entry; 0 for other sources. */
	const accept = (entry: GroupEntry, asOf = 0) => {
		if (isSuperseded(entry, asOf)) {
			return false;
		}

		entries.set(entry.name, entry);
		const fields = {group: entry.name, version: entry.version, deleted: entry.deleted};
		if (loaded) {
			ownLog.info('a group version came into force', fields);
		}

		notify(entry);
		return true;
	};

	const acceptChecked = ({entry, reason}: CheckedEntry, source: string) => {
		if (!entry) {
			ownLog.error('refused a malformed group', {source, reason});
			return false;
		}

		return accept(entry);
	};

	/** Marks a group as deleted as of a store revision; a version above that revision stays. */
	const markDeleted = (name: string, version: number) => {
		const current = entries.get(name);
		if (current && !current.deleted) {
			accept({...current, version, deleted: true});
		}
	};

	/*
	 * Failure: an object that was put into the store by hand or by a newer release is invalid. It is rejected and
	 * logged once; the last valid version stays in force, and the other groups are applied as usual.
	 */
	const applyStored = (object: PlatformObject, asOf: number) => {
		if (object.deleted) {
			malformed.delete(object.name);
			markDeleted(object.name, object.version);
			return;
		}

		const checked = checkStoredGroup(object);
		if (checked.entry) {
			malformed.delete(object.name);
			accept(checked.entry, asOf);
		} else if (malformed.get(object.name) !== object.version) {
			malformed.set(object.name, object.version);
			ownLog.error('refused a malformed group', {
				source: 'store', group: object.name, version: object.version, reason: checked.reason,
			});
		}
	};

	const applyStoredList = (list: PlatformList, now: number) => {
		lastStoreResponseAt = Math.max(lastStoreResponseAt, now);
		for (const object of list.objects) {
			applyStored(object, list.revision);
		}
	};

	const applyOffer = (candidate: unknown) => {
		const checked = checkEntry(candidate);
		const applied = acceptChecked(checked, 'offer');
		if (checked.entry && applied) {
			for (const listener of offerListeners) {
				listener(checked.entry);
			}
		}

		return applied;
	};

	const getGroup = (name: string) => {
		const entry = entries.get(name);
		return entry?.deleted ? undefined : entry;
	};

	return {
		getGroup,
		getGroupOrThrow: name => getGroup(name) ?? throwGroupUnknown(name),
		getGroups: () => [...entries.values()].filter(entry => !entry.deleted),
		offer: (name, candidate) => applyOffer({...candidate, name}),
		onChange(listener) {
			changeListeners.push(listener);
		},
		get loaded() {
			return loaded;
		},
		get revision() {
			return revision;
		},
		applyList(list, now) {
			applyStoredList(list, now);
			const listed = new Set(list.objects.map(object => object.name));
			const missing = [...entries.keys()].filter(name => !listed.has(name));
			for (const name of missing) {
				markDeleted(name, list.revision);
			}

			loaded = true;
			revision = Math.max(revision, list.revision);
		},
		applyChanges(changes, now) {
			applyStoredList(changes, now);
			revision = Math.max(revision, changes.revision);
		},
		applyPeerEntries(received) {
			const checked = received.entries.map(candidate => checkEntry(candidate));
			for (const each of checked) {
				acceptChecked(each, 'peer');
			}

			const complete = received.loaded && received.since <= revision;
			loaded ||= complete;
			// If an entry was rejected, the revision is not raised, so that the next pull requests the entry again.
			if (complete && checked.every(({entry}) => entry)) {
				revision = Math.max(revision, received.revision);
			}
		},
		applyOffer,
		applyPeerEntry: candidate => acceptChecked(checkEntry(candidate), 'peer'),
		onOffer(listener) {
			offerListeners.push(listener);
		},
		getEntry: name => entries.get(name),
		getEntries: since => [...entries.values()]
			.filter(entry => entry.version > since)
			.toSorted((left, right) => left.name < right.name ? -1 : 1),
		getStoreSilenceMs: now => now - lastStoreResponseAt,
	};
}
