import * as z from 'zod';
import {getGeneration} from '../mirror/store-generation.js';
import type {LogPosition} from '../terms/log-position.js';

/** Whether a group has a primary that may be used, or is between two. */
export const LeadPhase = {
	Steady: 'steady',
	Changing: 'changing',
} as const;

/** One of the phases in {@link LeadPhase}. */
export type LeadPhase = typeof LeadPhase[keyof typeof LeadPhase];

/** Who leads a group, as the store has it; changed only by conditional update. */
export type LeadershipRecord = {
	readonly group: string;
	readonly primaryId: string;
	/** The primary's term. */
	readonly term: number;
	/** Grows by one with each change, also with one that leads back to the same primary. */
	readonly epoch: number;
	readonly phase: LeadPhase;
	/** End of the primary's log when it was first seen to lead: what a promotion kept of older terms lies at or below. */
	readonly start: LogPosition;
	/** Host that wrote it. */
	readonly changedBy: string;
	/** Generation of the store that it was written in, or written again in; without it 0. */
	readonly generation?: number;
};

/** Who may have primaries replaced. */
export type DutyRecord = {
	readonly holder: string;
	/** Marks one life of the holder: one that was restarted is another holder, whose last orders may still be under way. */
	readonly incarnation: string;
	/** Fencing token: grows with each taking of the duty. */
	readonly token: number;
	/** Grows with each renewal, so that a renewal changes the record. */
	readonly renewals: number;
};

/** A proxy as it registered itself. */
export type HostRecord = {
	readonly name: string;
	/** `ip:port` for other proxies. */
	readonly peerAddress: string;
	readonly availabilityZone: string;
	/** It did not answer when a primary was replaced. It may live and hold evidence; it gets none any more before it registers anew. */
	readonly gone?: boolean;
	/** Generation of the store that it was registered in, or registered again in; without it 0. */
	readonly generation?: number;
};

/**
 * Whether a host has written a record in the generation of the store that `revision` is of.
 *
 * Guards against a record of before that came back with the store, or that a host still holds: a later one may have been lost.
 */
export function isAffirmed({generation = 0}: {readonly generation?: number}, revision: number): boolean {
	return generation === getGeneration(revision);
}

/** Name of the record of the duty; the groups' records have their group's name behind a prefix. */
export const DUTY_NAME = 'duty';

const GROUP_PREFIX = 'group.';

/** Names the record of a group. */
export function getLeadershipName(group: string): string {
	return GROUP_PREFIX + group;
}

const positionSchema = z.object({term: z.int(), position: z.int()});

const leadershipSchema: z.ZodType<LeadershipRecord> = z.object({
	group: z.string(),
	primaryId: z.string(),
	term: z.int(),
	epoch: z.int(),
	phase: z.enum(LeadPhase),
	start: positionSchema,
	changedBy: z.string(),
	generation: z.int().optional(),
});

const dutySchema: z.ZodType<DutyRecord> = z.object({
	holder: z.string(), incarnation: z.string(), token: z.int(), renewals: z.int(),
});

const hostSchema: z.ZodType<HostRecord> = z.object({
	name: z.string(), peerAddress: z.string(), availabilityZone: z.string(), gone: z.boolean().optional(), generation: z.int().optional(),
});

/** Reads the record stored under a name; undefined where it is no record of that group. */
export function parseLeadership(name: string, value: unknown): LeadershipRecord | undefined {
	const {data} = leadershipSchema.safeParse(value);
	return data && getLeadershipName(data.group) === name ? data : undefined;
}

/** Reads the record of the duty; undefined where it is none. */
export function parseDuty(value: unknown): DutyRecord | undefined {
	return dutySchema.safeParse(value).data;
}

/** Reads a host's record; undefined where it is none. */
export function parseHost(value: unknown): HostRecord | undefined {
	return hostSchema.safeParse(value).data;
}

/**
 * What stands for a group's record that cannot be read; undefined for a name that is no group's.
 *
 * Guards against a record that another program wrote over. Taken as absent, a first record would be written beside evidence that hosts may still
 * hold; taken as an error, the group would never have a primary again. As a change that nobody finishes it is gone on with like that of a
 * host that died: every host gives its evidence up first. The store's revision grows with each change, so it is above all earlier epochs.
 */
export function getUnreadableLeadership(name: string, version: number): LeadershipRecord | undefined {
	return name.startsWith(GROUP_PREFIX)
		? {
			group: name.slice(GROUP_PREFIX.length),
			primaryId: '',
			term: 0,
			epoch: version,
			phase: LeadPhase.Changing,
			start: {term: 0, position: 0},
			changedBy: UNREADABLE,
			generation: getGeneration(version),
		}
		: undefined;
}

/** What stands for a record of the duty that cannot be read: held by nobody known, under a token above all earlier ones, each of which took a revision. */
export function getUnreadableDuty(version: number): DutyRecord {
	return {
		holder: UNREADABLE, incarnation: UNREADABLE, token: version, renewals: 0,
	};
}

/** What stands for a host's record that cannot be read: nobody asks it, and each replacement waits out its evidence until it has registered anew. */
export function getUnreadableHost(name: string): HostRecord {
	return {
		name, peerAddress: '', availabilityZone: '', gone: true,
	};
}

/** Stands for the host behind a record that cannot be read. */
const UNREADABLE = 'unreadable';
