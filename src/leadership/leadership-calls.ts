import type {CommitReport} from './acknowledged-commits.js';

/** Requests a host to give up its lease of a group, before its primary is replaced. */
export type RevokeRequest = {
	readonly group: string;
	/** Leases below this epoch are to be given up. */
	readonly epoch: number;
	/** Time that work in progress has to finish first, in milliseconds; 0 if the primary is lost anyway. */
	readonly settleMs: number;
	/** Whether the response has to state the demand of the host's callers. */
	readonly wantsDemand?: true;
	/** Whether the response has to report the commits that the host has acknowledged. */
	readonly wantsCommits?: true;
};

/** Response of a host that has given up its lease. */
export type LeaseRevoked = {
	readonly revoked: true;
	/** Statements per second that the host ran at the group's primary lately, where the request asks for them. */
	readonly demand?: number;
	/** Where the request asks for it and the host knows the positions of all commits that it acknowledged. */
	readonly commits?: CommitReport;
};

/** Why a host does not begin a replacement that it was asked for. */
export const DeclineReason = {
	/** The host is stopping; another host begins the replacement. */
	Stopping: 'stopping',
	/** Not every host that goes on without the store knows this one yet. */
	NewHost: 'new-host',
	/** The group's record is another one here than where the request was decided on. */
	OtherRecord: 'other-record',
} as const;

/** One of the reasons in {@link DeclineReason}. */
export type DeclineReason = typeof DeclineReason[keyof typeof DeclineReason];

/** Response to a request to replace a primary. */
export type ReplaceResponse = {
	readonly taken: boolean;
	/** Present where it was not taken. */
	readonly declined?: DeclineReason;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** Responds once the lease is given up. */
		'lead-revoke': {req: RevokeRequest; res: LeaseRevoked};
		/** Returns whether the called host reaches an endpoint. */
		'lead-opinion': {req: {readonly endpointId: string}; res: {readonly reachable: boolean}};
		/** Requests the failover coordinator to replace a primary that is lost, leaving or no longer registered. */
		'lead-replace': {req: {readonly group: string; readonly epoch: number; readonly reason: string}; res: ReplaceResponse};
		/** Notifies a host that a record was changed; the receiver requests the change from the sender. */
		'lead-changed': {req: Record<string, never>; res: {readonly heard: true}};
	}
}

/** Timeout of a call between hosts about leadership, in milliseconds: about a hundred times the latency between two availability zones. */
export const LEADERSHIP_CALL_TIMEOUT_MS = 400;
