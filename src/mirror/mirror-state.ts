import {
	FAILOVER_LEASE_NAME, getUnreadableFailoverLease, getUnreadableHost, getUnreadableLeadership, isInCurrentGeneration, parseFailoverLease, parseHost, parseLeadership,
	type FailoverLeaseRecord, type HostRecord, type LeadershipRecord,
} from '../leadership/leadership-record.js';
import type {RegisteredEndpoint, Routing} from '../routes/routing.js';
import {RecordKind, type StoredRecord} from './metadata-store.js';
import {getGeneration} from './store-generation.js';

/** A record with the version that its next conditional update must name. */
export type Versioned<T> = T & {readonly version: number};

/** The contents of a proxy's copy of the store, complete up to one revision. */
export type MirrorState = {
	/** 0 before the first read. */
	readonly revision: number;
	readonly routing?: Routing;
	readonly endpoints: readonly RegisteredEndpoint[];
	readonly leadership: ReadonlyMap<string, Versioned<LeadershipRecord>>;
	readonly duty?: Versioned<FailoverLeaseRecord>;
	readonly hosts: ReadonlyArray<Versioned<HostRecord>>;
};

/** The state before the first read. */
export const EMPTY_STATE: MirrorState = {
	revision: 0, endpoints: [], leadership: new Map(), hosts: [],
};

/** Returns whether the state holds records that have not been rewritten in the current store generation, which is so for a while after a store restore. */
export function hasRecordsToRewrite({hosts, leadership, revision}: MirrorState): boolean {
	return [...hosts, ...leadership.values()].some(record => !isInCurrentGeneration(record, revision));
}

/** Returns whether a record that the proxies keep can be decoded; what cannot be was written by another program. */
export function isReadableRecord(kind: RecordKind, {name, value}: StoredRecord): boolean {
	if (kind === RecordKind.Hosts) {
		return parseHost(name, value) !== undefined;
	}

	return (name === FAILOVER_LEASE_NAME ? parseFailoverLease(value) : parseLeadership(name, value)) !== undefined;
}

/** Decodes the leadership records and the failover lease; unreadable ones are replaced by {@link getUnreadableLeadership} and {@link getUnreadableFailoverLease}. */
export function decodeLeadership(records: readonly StoredRecord[]): Pick<MirrorState, 'leadership' | 'duty'> {
	const leadership = new Map<string, Versioned<LeadershipRecord>>();
	let duty: Versioned<FailoverLeaseRecord> | undefined;
	for (const {name, version, value} of records) {
		if (name === FAILOVER_LEASE_NAME) {
			duty = {...(parseFailoverLease(value) ?? getUnreadableFailoverLease(version)), version};
			continue;
		}

		const record = parseLeadership(name, value) ?? getUnreadableLeadership(name, version);
		if (record) {
			leadership.set(record.group, {...record, version});
		}
	}

	return {leadership, duty};
}

/** Decodes the hosts' records; an unreadable one is taken for an unresponsive host, which may still hold primary leases and registers again. */
export function decodeHosts(records: readonly StoredRecord[]): MirrorState['hosts'] {
	return records.map(({name, version, value}) => ({...(parseHost(name, value) ?? getUnreadableHost(name)), version}));
}

/** Returns the later of two configurations: the one in force is never replaced by an earlier version. */
export function getLaterRouting(held: Routing | undefined, read: Routing | undefined): Routing | undefined {
	return held && (!read || read.version < held.version) ? held : read;
}

/**
 * Returns the groups' records as read, except for those that are held in a later epoch.
 *
 * Guards against a restored store that names a primary which was replaced after the backup. The records that the store lost are kept here until a host has rewritten
 * them; their next update names the version that the store has now.
 */
export function getLaterLeadership(held: MirrorState['leadership'], read: MirrorState['leadership']): MirrorState['leadership'] {
	const later = [...held.values()].filter(({group, epoch}) => epoch > (read.get(group)?.epoch ?? 0));
	return later.length === 0 ? read : new Map([...read, ...later.map(record => [record.group, withLaterVersion(record, read.get(record.group))] as const)]);
}

/** Returns a held record with the version that its next update must name. Within one generation the version held may be later than the one read, since lists are read one after the other. */
function withLaterVersion(record: Versioned<LeadershipRecord>, read: Versioned<LeadershipRecord> | undefined): Versioned<LeadershipRecord> {
	const version = read?.version ?? 0;
	const isOfSame = getGeneration(record.version) === getGeneration(version);
	return {...record, version: isOfSame ? Math.max(record.version, version) : version};
}
