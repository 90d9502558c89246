import type {Versioned} from '../mirror/mirror-state.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {FAILOVER_LEASE_MS, type FailoverLease} from './failover-lease.js';
import {LeadershipPhase, type LeadershipRecord} from './leadership-record.js';
import type {RecordRewriter} from './rewrite-record.js';
import type {Replacements} from './replacements.js';

/** Groups whose record does not determine the primary: the group is being changed, or the record is of an earlier store generation. */
export type UnresolvedGroups = {
	/** Rewrites the group's record, or replaces its primary, if no other host has done so in time. */
	check(record: Versioned<LeadershipRecord>): Promise<void>;
};

/** What {@link createUnresolvedGroups} needs. */
export type UnresolvedGroupsOptions = {
	readonly failoverLease: FailoverLease;
	readonly rewriter: RecordRewriter;
	readonly replacements: Replacements;
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly hostName: string;
	/** Hosts wait a random part of this before they act on what several of them observe, in milliseconds. */
	readonly jitterMs: number;
	/** Pause before the host of a failed replacement tries again, in milliseconds. */
	readonly retryDelayMs: number;
};

/** A change without progress for this long, in milliseconds, has lost the host that was making it. */
const STALLED_AFTER_MS = FAILOVER_LEASE_MS + 400;

/** If no host has rewritten a record for this long after a store restore, in milliseconds, no host holds a lease of its primary: all attempts are made within this time. */
const NOT_REWRITTEN_AFTER_MS = 1500;

/** Creates the handling for a host that has seen no group yet. */
export function createUnresolvedGroups(options: UnresolvedGroupsOptions): UnresolvedGroups {
	const {failoverLease, rewriter, replacements, clock, elapsedClock, random} = options;
	const seen = new Map<string, {readonly version: number; readonly since: number}>();

	/** Returns for how long this host has seen the record unchanged, in milliseconds. */
	const getUnchangedMs = ({group, version}: Versioned<LeadershipRecord>) => {
		const now = elapsedClock.elapsed();
		const known = seen.get(group);
		const current = known?.version === version ? known : {version, since: now};
		seen.set(group, current);
		return now - current.since;
	};

	const begin = async (group: string, reason: string) => {
		await clock.sleep(random.fraction() * options.jitterMs);
		await replacements.begin({group, reason, planned: false});
	};

	/** Continues a change whose host died before it was complete, or handed it over. */
	const checkChanging = async (record: Versioned<LeadershipRecord>) => {
		const isOwn = record.changedBy === options.hostName;
		const waitMs = isOwn ? options.retryDelayMs : STALLED_AFTER_MS;
		const isStalled = getUnchangedMs(record) > waitMs || failoverLease.wasReleasedBy(record.changedBy);
		if (isStalled && failoverLease.getOtherHolder() === undefined) {
			await begin(record.group, 'an earlier change was not finished');
		}
	};

	/** Rewrites the record after a store restore. If no host holds a lease, the primary is unknown and is determined as in an unfinished change. */
	const checkNotRewritten = async (record: Versioned<LeadershipRecord>) => {
		const seenMs = getUnchangedMs(record);
		if (await rewriter.rewrite(record) || seenMs <= NOT_REWRITTEN_AFTER_MS || failoverLease.getOtherHolder() !== undefined) {
			return;
		}

		await begin(record.group, 'the store was restored from a backup and no host holds a lease of the primary');
	};

	return {
		check: async record => record.phase === LeadershipPhase.Changing ? checkChanging(record) : checkNotRewritten(record),
	};
}
