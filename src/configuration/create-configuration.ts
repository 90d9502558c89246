import type {Log} from '../log/log.js';
import type {PlatformList, PlatformObject} from '../object-store/platform.js';
import {throwGroupUnknown} from './configuration-errors.js';
import type {Configuration, VersionedGroup} from './configuration.js';
import {
	checkEntry, checkStoredGroup, type CheckedEntry, type GroupEntry,
} from './group-entry.js';

/**
 * The configuration in force, with what its watch and its peers need of it.
 *
 * `revision` is the store revision up to which this host has taken every change; an offer of a single group never raises it.
 */
export type ConfigurationState = Configuration & {
	/** Takes the whole of the groups from the store. */
	takeList(list: PlatformList, now: number): void;
	/** Takes from the store what changed after some revision that was at or under `revision`. */
	takeChanges(changes: PlatformList, now: number): void;
	/** Takes what a peer holds above `since`, once all its pages are there. */
	takePeerEntries(told: PeerEntries): void;
	/** Takes one entry that a peer holds, on this host's asking; tells whether it was taken. */
	takePeerEntry(candidate: unknown): boolean;
	/** Takes what a peer offers of its own accord, as `offer` does. */
	takeOffer(candidate: unknown): boolean;
	/** Calls back after every offer taken in force, and for nothing else. */
	onOffer(listener: (entry: GroupEntry) => void): void;
	/** What is in force of a group, deleted or not. */
	getEntry(name: string): GroupEntry | undefined;
	/** What is in force of all groups above a version, deleted ones too, by name. */
	getEntries(since: number): readonly GroupEntry[];
	/** How long ago the store last answered, in milliseconds; Infinity before the first answer. */
	getStoreSilenceMs(now: number): number;
};

/** What a peer told of the groups it holds. */
export type PeerEntries = {
	/** The revision above which the peer was asked. */
	readonly since: number;
	/** The peer's own `revision` when it began to tell. */
	readonly revision: number;
	/** Whether the peer itself had been told the whole configuration. */
	readonly loaded: boolean;
	readonly entries: readonly unknown[];
};

/** Creates a configuration that knows nothing yet. */
export function createConfiguration({log}: {readonly log: Log}): ConfigurationState {
	const ownLog = log.withPrefix('configuration: ');
	const entries = new Map<string, GroupEntry>();
	/** Versions from the store that were refused as malformed, by name. */
	const malformed = new Map<string, number>();
	const changeListeners: Array<(name: string, current: VersionedGroup) => void> = [];
	const offerListeners: Array<(entry: GroupEntry) => void> = [];
	let loaded = false;
	let revision = 0;
	let storeSeenAt = -Infinity;

	/*
	 * Failure: a late answer, a stale peer or a proxy that restarted from one brings an older version, and a drain
	 * order or a limit that was accepted is undone on this host alone. Versions only rise in the store, so the highest
	 * one seen is the newest that was accepted, wherever it was heard.
	 *
	 * A group that is unknown here although every change up to the version offered was taken has been deleted; what
	 * offers it has missed that, unless it is the store itself, as of now. Where the store's own object was refused,
	 * an older good version is still wanted.
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

	/** @param asOf The store revision of the answer that carried the entry; 0 from elsewhere. */
	const accept = (entry: GroupEntry, asOf = 0) => {
		if (isSuperseded(entry, asOf)) {
			return false;
		}

		entries.set(entry.name, entry);
		const fields = {group: entry.name, version: entry.version, deleted: entry.deleted};
		if (loaded) {
			ownLog.info('took a version in force', fields);
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

	/** Deletes what is known of a group up to a store revision; a group made after it stays. */
	const bury = (name: string, version: number) => {
		const current = entries.get(name);
		if (current && !current.deleted) {
			accept({...current, version, deleted: true});
		}
	};

	/*
	 * Failure: an object is put into the store by hand or by a newer release and does not pass the checks. It is
	 * refused and logged once; the last good version stays in force, and the other groups are taken as ever.
	 */
	const takeStored = (object: PlatformObject, asOf: number) => {
		if (object.deleted) {
			malformed.delete(object.name);
			bury(object.name, object.version);
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

	const takeStoredList = (list: PlatformList, now: number) => {
		storeSeenAt = Math.max(storeSeenAt, now);
		for (const object of list.objects) {
			takeStored(object, list.revision);
		}
	};

	const takeOffer = (candidate: unknown) => {
		const checked = checkEntry(candidate);
		const taken = acceptChecked(checked, 'offer');
		if (checked.entry && taken) {
			for (const listener of offerListeners) {
				listener(checked.entry);
			}
		}

		return taken;
	};

	const getGroup = (name: string) => {
		const entry = entries.get(name);
		return entry?.deleted ? undefined : entry;
	};

	return {
		getGroup,
		getGroupOrThrow: name => getGroup(name) ?? throwGroupUnknown(name),
		getGroups: () => [...entries.values()].filter(entry => !entry.deleted),
		offer: (name, candidate) => takeOffer({...candidate, name}),
		onChange(listener) {
			changeListeners.push(listener);
		},
		get loaded() {
			return loaded;
		},
		get revision() {
			return revision;
		},
		takeList(list, now) {
			takeStoredList(list, now);
			const listed = new Set(list.objects.map(object => object.name));
			const missing = [...entries.keys()].filter(name => !listed.has(name));
			for (const name of missing) {
				bury(name, list.revision);
			}

			loaded = true;
			revision = Math.max(revision, list.revision);
		},
		takeChanges(changes, now) {
			takeStoredList(changes, now);
			revision = Math.max(revision, changes.revision);
		},
		takePeerEntries(told) {
			const checked = told.entries.map(candidate => checkEntry(candidate));
			for (const each of checked) {
				acceptChecked(each, 'peer');
			}

			const complete = told.loaded && told.since <= revision;
			loaded ||= complete;
			// What was refused here is asked for again, so the revision stays below it.
			if (complete && checked.every(({entry}) => entry)) {
				revision = Math.max(revision, told.revision);
			}
		},
		takeOffer,
		takePeerEntry: candidate => acceptChecked(checkEntry(candidate), 'peer'),
		onOffer(listener) {
			offerListeners.push(listener);
		},
		getEntry: name => entries.get(name),
		getEntries: since => [...entries.values()]
			.filter(entry => entry.version > since)
			.toSorted((left, right) => left.name < right.name ? -1 : 1),
		getStoreSilenceMs: now => now - storeSeenAt,
	};
}
