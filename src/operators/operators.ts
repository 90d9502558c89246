/** The port for operators, metrics and the health checks of the platform's load balancer. */
export type Operators = {
	/** Starts listening. */
	start(): Promise<void>;
	/** Stops listening and closes every connection. */
	stop(): Promise<void>;
	/** The port number; known once started. */
	readonly port: number;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		operators: Operators;
	}
}
