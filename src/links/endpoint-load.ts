/** The load of an endpoint, as one pool host knows it. */
export type EndpointLoad = {
	/** Number of statements that the pool host may have in flight there; Infinity while that is unbounded. */
	readonly limit: number;
	/** Number of statements of the pool host that are in flight there. */
	readonly inFlight: number;
	/** Number of requests that wait for a connection at the pool host. */
	readonly queued: number;
	/** Smoothed time of a statement there without the wait at the pool host, in milliseconds. */
	readonly serviceMs: number;
	/** Predicted wait of a new request at the pool host, in milliseconds. */
	readonly waitMs: number;
};
