import {compareLogPositions, type LogPosition} from '../terms/log-position.js';
import type {ReplicaSet, ReplicaSetMember} from './replica-set.js';

/** What an endpoint reported about its log after all primary leases had ended. */
export type LogReport = {
	readonly endpointId: string;
	/** `ip:port`. */
	readonly address: string;
	/** End of the log that it has received. */
	readonly received: LogPosition;
};

/** What reports prove about the commits that were acknowledged before the leases ended. */
export type CommitProof = {
	/** A log up to this position holds every acknowledged commit; undefined if the reports do not prove that of any log. */
	readonly required?: LogPosition;
	/** Ids of the members that have not reported. */
	readonly missing: readonly string[];
};

/**
 * Returns what reports prove.
 *
 * An acknowledged commit is in the logs of the primary and of `syncReplicas` replicas, so all members but `syncReplicas` and one hold it, whoever they
 * are: among the reports of all members but `syncReplicas`, the highest position covers it. Where more members have reported, the lowest of those reports suffice.
 */
export function proveCommits({members, syncReplicas}: ReplicaSet, reports: readonly LogReport[]): CommitProof {
	const positions: LogPosition[] = [];
	const missing: string[] = [];
	for (const member of members) {
		const received = findReport(member, reports)?.received;
		if (received) {
			positions.push(received);
		} else {
			missing.push(member.endpointId);
		}
	}

	positions.sort(compareLogPositions);
	return {required: positions[Math.max(1, members.length - syncReplicas) - 1], missing};
}

/** Returns the report of a member, or of the endpoint that took over its log and address. */
function findReport({endpointId, address, leaving}: ReplicaSetMember, reports: readonly LogReport[]): LogReport | undefined {
	return reports.find(report => report.endpointId === endpointId) ?? (leaving ? reports.find(report => report.address === address) : undefined);
}
