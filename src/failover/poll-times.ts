import type {FailoverSettings} from './failover-settings.js';

/** How old the last status of a group's servers may be before it is requested again, in milliseconds. */
export type PollTimes = {
	readonly primaryMs: number;
	readonly replicaMs: number;
};

/** What the poll times depend on. */
export type PollSituation = {
	/** Rank of this host among the group's owners, from 0. */
	readonly rank: number;
	/** How long this host has had no work of the group, in milliseconds; undefined where that is not known. */
	readonly idleMs: number | undefined;
};

/**
 * Returns the poll times of a group.
 *
 * Answers to statements carry the servers' status too, so a busy group is hardly ever polled. At the same rate, groups
 * without statements would use up a node's whole budget for control. They are polled less often: no caller is waiting for
 * them, and their first statement raises a suspicion by itself.
 */
export function getPollTimes(settings: FailoverSettings, {rank, idleMs = 0}: PollSituation): PollTimes {
	const isFirst = rank === 0;
	return idleMs >= settings.idleAfterMs
		? {primaryMs: isFirst ? settings.idlePrimaryPollMs : settings.idleStandbyPollMs, replicaMs: settings.idleReplicaPollMs}
		: {primaryMs: isFirst ? settings.primaryPollMs : settings.standbyPollMs, replicaMs: settings.replicaPollMs};
}
