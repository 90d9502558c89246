import {
	DUTY_NAME, getUnreadableDuty, getUnreadableHost, getUnreadableLeadership, isAffirmed, parseDuty, parseHost, parseLeadership,
	type DutyRecord, type HostRecord, type LeadershipRecord,
} from '../leadership/leadership-record.js';
import type {RegisteredEndpoint, Routing} from '../routes/routing.js';
import type {StoredRecord} from './metadata-store.js';
import {getGeneration} from './store-generation.js';

/** A record with the version that a conditional update has to name. */
export type Versioned<T> = T & {readonly version: number};

/** All that a proxy holds of the store, complete up to one revision. */
export type MirrorState = {
	/** 0 before the first reading. */
	readonly revision: number;
	readonly routing?: Routing;
	readonly endpoints: readonly RegisteredEndpoint[];
	readonly leadership: ReadonlyMap<string, Versioned<LeadershipRecord>>;
	readonly duty?: Versioned<DutyRecord>;
	readonly hosts: ReadonlyArray<Versioned<HostRecord>>;
};

/** What is known before anything was read. */
export const EMPTY_STATE: MirrorState = {
	revision: 0, endpoints: [], leadership: new Map(), hosts: [],
};

/** Whether it shows records of an earlier generation that nobody has written again yet: the store came back from a copy not long ago. */
export function holdsRecordsOfBefore({hosts, leadership, revision}: MirrorState): boolean {
	return [...hosts, ...leadership.values()].some(record => !isAffirmed(record, revision));
}

/** Decodes the records of leadership and of the duty; what cannot be read is taken as in {@link getUnreadableLeadership} and {@link getUnreadableDuty}. */
export function decodeLeadership(records: readonly StoredRecord[]): Pick<MirrorState, 'leadership' | 'duty'> {
	const leadership = new Map<string, Versioned<LeadershipRecord>>();
	let duty: Versioned<DutyRecord> | undefined;
	for (const {name, version, value} of records) {
		if (name === DUTY_NAME) {
			duty = {...(parseDuty(value) ?? getUnreadableDuty(version)), version};
			continue;
		}

		const record = parseLeadership(name, value) ?? getUnreadableLeadership(name, version);
		if (record) {
			leadership.set(record.group, {...record, version});
		}
	}

	return {leadership, duty};
}

/** Decodes the hosts' records; one that cannot be read stands for a host that is gone, which may hold evidence and registers anew. */
export function decodeHosts(records: readonly StoredRecord[]): MirrorState['hosts'] {
	return records.map(({name, version, value}) => ({...(parseHost(value) ?? getUnreadableHost(name)), version}));
}

/** The later of two versions of the configuration: what was once in force is never replaced by what came before it. */
export function getLaterRouting(held: Routing | undefined, read: Routing | undefined): Routing | undefined {
	return held && (!read || read.version < held.version) ? held : read;
}

/**
 * The groups' records as read, but for those that were held in a later epoch.
 *
 * Guards against a store that came back from a copy and names a primary which was replaced since. What it lost stays here until a host has written it again; its
 * next update names the version that the store has by now.
 */
export function getLaterLeadership(held: MirrorState['leadership'], read: MirrorState['leadership']): MirrorState['leadership'] {
	const later = [...held.values()].filter(({group, epoch}) => epoch > (read.get(group)?.epoch ?? 0));
	return later.length === 0 ? read : new Map([...read, ...later.map(record => [record.group, withVersionRead(record, read.get(record.group))] as const)]);
}

/** A record that was read before with what the same generation of the store gave out for it is not older for that: lists are read one after the other. */
function withVersionRead(record: Versioned<LeadershipRecord>, read: Versioned<LeadershipRecord> | undefined): Versioned<LeadershipRecord> {
	const version = read?.version ?? 0;
	const isOfSame = getGeneration(record.version) === getGeneration(version);
	return {...record, version: isOfSame ? Math.max(record.version, version) : version};
}
