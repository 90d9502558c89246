/** An organisation whose callers share a rate limit and whose statements run on connections of its own. */
export type Workspace = {
	readonly name: string;
	/** Secrets that authenticate its callers. */
	readonly keys: readonly string[];
	/** Order of its statements among those whose routes have the same priority; 0 runs first. */
	readonly priority: number;
	/** Rate limit of its operations over the whole fleet; undefined where it has none. */
	readonly limit?: RateLimit;
};

/** The parameters of a token bucket. */
export type RateLimit = {
	/** Operations per second. */
	readonly ratePerSecond: number;
	/** Operations that may run at once after an idle time. */
	readonly burst: number;
};
