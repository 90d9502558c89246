import type {EndpointStatus} from '../endpoints/endpoint.js';

/** Asks a host which of the given servers it can reach. */
export type ConfirmSuspicionRequest = {
	readonly group: string;
	/** `ip:port` of the servers the sender cannot reach. */
	readonly addresses: readonly string[];
	/** Time the host may take to probe them, in milliseconds. */
	readonly probeMs: number;
};

/** Statuses of the servers that answered the host; the others are absent. */
export type ConfirmSuspicionResponse = {
	readonly seen: ReadonlyArray<{readonly address: string; readonly status: EndpointStatus}>;
};

/** Asks an owner to hold back new writes of a group for a planned change of primary. */
export type HoldWritesRequest = {
	readonly group: string;
	/** Identifies the hold, so that its release ends no other one. */
	readonly holdId: string;
	/** Time after which the hold ends without a release, in milliseconds, in case the sender dies. */
	readonly ms: number;
};

/** Whether the owner's writes are held and none is in flight. */
export type HoldWritesResponse = {
	readonly held: boolean;
};

/** Ends a hold. */
export type ReleaseWritesRequest = {
	readonly group: string;
	readonly holdId: string;
};

/** Notifies an owner of a new primary, so that it does not have to wait for its next poll. */
export type NotifyPrimaryRequest = {
	readonly group: string;
	readonly endpoint: string;
	readonly status: EndpointStatus;
};

/** Response to a notification. */
export type Acknowledgement = {
	readonly noted: boolean;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'confirm-suspicion': {req: ConfirmSuspicionRequest; res: ConfirmSuspicionResponse};
		'hold-writes': {req: HoldWritesRequest; res: HoldWritesResponse};
		'release-writes': {req: ReleaseWritesRequest; res: Acknowledgement};
		'tell-primary': {req: NotifyPrimaryRequest; res: Acknowledgement};
	}
}
