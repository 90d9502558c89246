import * as z from 'zod';
import {getGeneration} from '../mirror/store-generation.js';
import type {LogPosition} from '../terms/log-position.js';
import type {ReplicaSet} from './replica-set.js';

/** Whether a group has a primary that may be used, or its primary is being replaced. */
export const LeadershipPhase = {
	Steady: 'steady',
	Changing: 'changing',
} as const;

/** One of the phases in {@link LeadershipPhase}. */
export type LeadershipPhase = typeof LeadershipPhase[keyof typeof LeadershipPhase];

/** The stored leadership of a group; it is changed by conditional updates only. */
export type LeadershipRecord = {
	readonly group: string;
	readonly primaryId: string;
	/** The primary's term. */
	readonly term: number;
	/** Increases with each change, including one after which the same primary leads again. */
	readonly epoch: number;
	readonly phase: LeadershipPhase;
	/** End of the primary's log when it was first observed as primary. Entries of older terms that the promotion kept are at or below this position. */
	readonly start: LogPosition;
	/** Host that wrote the record. */
	readonly changedBy: string;
	/** Store generation in which the record was last written; absent means 0. */
	readonly generation?: number;
	/** The endpoints that may have confirmed commits; absent if the primary has waited for no replica. */
	readonly replicaSet?: ReplicaSet;
	/** Ids of the endpoints of which one or more must respond before any can be promoted; absent if that is not so. */
	readonly awaited?: readonly string[];
	/** A log up to this position holds every acknowledged commit; absent if that is not known, and in the steady phase. */
	readonly required?: LogPosition;
};

/** The stored failover lease: its holder may replace primaries. */
export type FailoverLeaseRecord = {
	readonly holder: string;
	/** Identifies one process of the holder. A restarted process is another holder, since orders of the earlier process may still be in progress. */
	readonly incarnation: string;
	/** Fencing token; increases each time the lease is newly acquired. */
	readonly token: number;
	/** Number of renewals, so that a renewal changes the record. */
	readonly renewals: number;
	/** Set once the holder has ended its lease ahead of time: any host may acquire the lease at once. */
	readonly released?: boolean;
};

/** The stored registration of a proxy. */
export type HostRecord = {
	readonly name: string;
	/** `ip:port` at which other proxies reach it. */
	readonly peerAddress: string;
	readonly availabilityZone: string;
	/** Capacity of the host in cores, by which it is weighted; absent counts as 1. */
	readonly capacity?: number;
	/** Smallest round-trip time to the store that the host had measured when it registered, in milliseconds, rounded; absent where it was not measured. */
	readonly storeRttMs?: number;
	/** Set once the host did not respond. It may still be running and hold primary leases; it gets no further lease until it registers again. */
	readonly gone?: boolean;
	/** Store generation in which the host last registered; absent means 0. */
	readonly generation?: number;
};

/**
 * Returns whether a record was written in the store generation to which `revision` belongs.
 *
 * A record of an earlier generation was restored from a backup, or is a copy that a host still holds: a later version of it may have been lost.
 */
export function isInCurrentGeneration({generation = 0}: {readonly generation?: number}, revision: number): boolean {
	return generation === getGeneration(revision);
}

/** Name of the record of the failover lease. The record of a group is named by a prefix and the group's name. */
export const FAILOVER_LEASE_NAME = 'duty';

const GROUP_PREFIX = 'group.';

/** Returns the name under which the record of a group is stored. */
export function getLeadershipName(group: string): string {
	return GROUP_PREFIX + group;
}

/** Above any count that a group or a lease reaches, and far enough below the largest safe integer for all that is added to it. */
const MAX_COUNT = 2 ** 52;

const countSchema = z.int().nonnegative().max(MAX_COUNT);

const positionSchema = z.object({term: countSchema, position: countSchema});

const leadershipSchema: z.ZodType<LeadershipRecord> = z.object({
	group: z.string(),
	primaryId: z.string(),
	term: countSchema,
	epoch: countSchema,
	phase: z.enum(LeadershipPhase),
	start: positionSchema,
	changedBy: z.string(),
	generation: countSchema.optional(),
	replicaSet: z.object({
		syncReplicas: z.int().positive(),
		members: z.array(z.object({endpointId: z.string(), address: z.string(), leaving: z.literal(true).optional()})),
	}).optional(),
	awaited: z.array(z.string()).optional(),
	required: positionSchema.optional(),
});

const failoverLeaseSchema: z.ZodType<FailoverLeaseRecord> = z.object({
	holder: z.string(), incarnation: z.string(), token: countSchema, renewals: countSchema, released: z.boolean().optional(),
});

/** Bounds far above what any host has: a number beyond them was not written by one. */
const MAX_CORES = 10_000;
const MAX_RTT_MS = 3_600_000;
const MAX_PORT = 65_535;

/** Whether a text can be the address of a host. That it can be called is decided by the transport, whose addresses need not be IP addresses. */
function isPeerAddress(address: string): boolean {
	const [, port] = /^.+:(\d{1,5})$/v.exec(address) ?? [];
	return port !== undefined && Number(port) > 0 && Number(port) <= MAX_PORT;
}

const hostSchema: z.ZodType<HostRecord> = z.object({
	name: z.string(),
	peerAddress: z.string().refine(isPeerAddress),
	availabilityZone: z.string(),
	capacity: z.number().positive().max(MAX_CORES).optional(),
	storeRttMs: z.number().nonnegative().max(MAX_RTT_MS).optional(),
	gone: z.boolean().optional(),
	generation: countSchema.optional(),
});

/** Parses the record stored under a name; returns undefined if it is not a valid record of that group. */
export function parseLeadership(name: string, value: unknown): LeadershipRecord | undefined {
	const {data} = leadershipSchema.safeParse(value);
	return data && getLeadershipName(data.group) === name ? data : undefined;
}

/** Parses the record of the failover lease; returns undefined if it is invalid. */
export function parseFailoverLease(value: unknown): FailoverLeaseRecord | undefined {
	return failoverLeaseSchema.safeParse(value).data;
}

/** Parses the record of a host stored under a name; returns undefined if it is not a valid record of that host. */
export function parseHost(name: string, value: unknown): HostRecord | undefined {
	const {data} = hostSchema.safeParse(value);
	return data?.name === name ? data : undefined;
}

/**
 * Returns the substitute for a group's record that cannot be parsed; undefined if the name is not that of a group's record.
 *
 * Another program may have overwritten the record. If it were treated as absent, a first record would be written while hosts may still hold
 * leases; if it were treated as an error, the group would never have a primary again. The substitute is an unfinished change, which another host
 * completes like that of a host that died: every host gives up its lease first. The store's revision increases with each change, so as an epoch it is
 * above all earlier ones.
 */
export function getUnreadableLeadership(name: string, version: number): LeadershipRecord | undefined {
	return name.startsWith(GROUP_PREFIX)
		? {
			group: name.slice(GROUP_PREFIX.length),
			primaryId: '',
			term: 0,
			epoch: version,
			phase: LeadershipPhase.Changing,
			start: {term: 0, position: 0},
			changedBy: UNREADABLE,
			generation: getGeneration(version),
		}
		: undefined;
}

/**
 * Returns the substitute for a failover lease that cannot be parsed: it has no known holder, and its token is above all earlier ones, since each
 * of those took a revision.
 */
export function getUnreadableFailoverLease(version: number): FailoverLeaseRecord {
	return {
		holder: UNREADABLE, incarnation: UNREADABLE, token: version, renewals: 0,
	};
}

/**
 * Returns the substitute for a host's record that cannot be parsed: no request is sent to the host, and until it has registered again each
 * replacement waits for the duration of a primary lease.
 */
export function getUnreadableHost(name: string): HostRecord {
	return {
		name, peerAddress: '', availabilityZone: '', gone: true,
	};
}

/** The host name in substitutes for records that cannot be parsed. */
const UNREADABLE = 'unreadable';
