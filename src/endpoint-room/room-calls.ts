/** What a pool host needs of an endpoint's concurrency budget. */
export type RoomReport = {
	readonly endpointId: string;
	/** Statements that it has in flight at the endpoint. */
	readonly inFlight: number;
	/** Requests that wait there for a connection. */
	readonly queued: number;
	/** Time until its next report, in milliseconds; left out where it is the usual interval. */
	readonly everyMs?: number;
};

/** The share of the budget that a pool host may use until its next report. */
export type RoomGrant = {
	/** Number of statements that it may have in flight at the endpoint; undefined where the responder does not know the endpoint. */
	readonly limit?: number;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** Reports the demand of a pool host to the allocator of the endpoint's concurrency budget, which responds with its share. */
		'room-report': {req: RoomReport; res: RoomGrant};
	}
}
