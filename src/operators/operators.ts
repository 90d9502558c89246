/** The port for operators, metrics and the platform's balancer, as the daemon drives it. */
export type Operators = {
	/** Begins to listen. */
	start(): Promise<void>;
	/** Ends every connection. */
	stop(): Promise<void>;
	/** The port listened on; known once started. */
	readonly port: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		operators: Operators;
	}
}
