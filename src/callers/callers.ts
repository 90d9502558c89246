/** The port for callers, as the daemon drives it. */
export type Callers = {
	/** Begins to listen. */
	start(): Promise<void>;
	/** Drains within the bound of its options, then closes every connection. */
	stop(): Promise<void>;
	/**
	 * Refuses new requests from now on, and resolves when those in flight and the open transactions have ended,
	 * or `boundMs` milliseconds have passed. Never rejects; goes on listening, so that a late caller is told.
	 */
	drain(boundMs: number): Promise<void>;
	/** Requests that have arrived and whose answer is not written out yet, or whose work goes on without their caller. */
	readonly inFlight: number;
	/** The port listened on; known once started. */
	readonly port: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		callers: Callers;
	}
}
