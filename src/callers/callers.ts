/** The port for callers, as the daemon controls it. */
export type Callers = {
	/** Starts to listen. */
	start(): Promise<void>;
	/** Drains within the time bound given in the options, then closes every connection. */
	stop(): Promise<void>;
	/**
	 * Refuses new requests from now on, and resolves once the requests in flight and the open transactions have ended
	 * or `boundMs` milliseconds have passed. Never rejects. The port keeps listening, so that late callers get a refusal.
	 */
	drain(boundMs: number): Promise<void>;
	/** Number of requests that have arrived and whose response is not fully written, or whose work continues without their caller. */
	readonly inFlight: number;
	/** The port listened on; known once started. */
	readonly port: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		callers: Callers;
	}
}
