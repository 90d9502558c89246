import type {FailoverSettings} from './failover-settings.js';

/** How old the last sign of life of a group's servers may be, in milliseconds. */
export type PollTimes = {
	readonly primaryMs: number;
	readonly replicaMs: number;
};

/** What the times depend on. */
export type PollSituation = {
	/** Rank of this host among the group's owners, from 0. */
	readonly rank: number;
	/** How long this host has had no work of the group, in milliseconds; undefined where that is not known. */
	readonly idleMs: number | undefined;
};

/**
 * The times between polls.
 *
 * Statements bring the servers' status as well, so a busy group is polled hardly ever. A group without any would cost its
 * owners a node's whole budget for control; nobody waits for it, and its first statement raises suspicion by itself.
 */
export function getPollTimes(settings: FailoverSettings, {rank, idleMs = 0}: PollSituation): PollTimes {
	const isFirst = rank === 0;
	return idleMs >= settings.idleAfterMs
		? {primaryMs: isFirst ? settings.idlePrimaryPollMs : settings.idleStandbyPollMs, replicaMs: settings.idleReplicaPollMs}
		: {primaryMs: isFirst ? settings.primaryPollMs : settings.standbyPollMs, replicaMs: settings.replicaPollMs};
}
