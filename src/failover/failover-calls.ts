import type {EndpointStatus} from '../endpoints/endpoint.js';

/** Asks a host which of some servers it can reach itself. */
export type ConfirmSuspicionRequest = {
	readonly group: string;
	/** `ip:port` of the servers the sender cannot reach. */
	readonly addresses: readonly string[];
	/** Time the host may take to probe them, in milliseconds. */
	readonly probeMs: number;
};

/** What the host saw; servers that did not answer are absent. */
export type ConfirmSuspicionAnswer = {
	readonly seen: ReadonlyArray<{readonly address: string; readonly status: EndpointStatus}>;
};

/** Asks an owner to hold back new writes of a group for a planned change of primary. */
export type HoldWritesRequest = {
	readonly group: string;
	/** Names the hold, so that its release ends no other. */
	readonly holdId: string;
	/** The hold ends by itself after this long, in milliseconds, should the sender die. */
	readonly ms: number;
};

/** Whether the owner's writes are held and none is in flight. */
export type HoldWritesAnswer = {
	readonly held: boolean;
};

/** Ends a hold. */
export type ReleaseWritesRequest = {
	readonly group: string;
	readonly holdId: string;
};

/** Tells an owner of a new primary, so that it need not wait for its next poll. */
export type TellPrimaryRequest = {
	readonly group: string;
	readonly endpoint: string;
	readonly status: EndpointStatus;
};

/** The answer to a message that asks nothing. */
export type Noted = {
	readonly noted: boolean;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'confirm-suspicion': {req: ConfirmSuspicionRequest; res: ConfirmSuspicionAnswer};
		'hold-writes': {req: HoldWritesRequest; res: HoldWritesAnswer};
		'release-writes': {req: ReleaseWritesRequest; res: Noted};
		'tell-primary': {req: TellPrimaryRequest; res: Noted};
	}
}
