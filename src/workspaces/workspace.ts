/** An organisation whose callers share a rate limit and whose statements run on connections of its own. */
export type Workspace = {
	readonly name: string;
	/** Secrets by which its callers show that they belong to it. */
	readonly keys: readonly string[];
	/** 0 goes first among statements whose routes have the same priority. */
	readonly priority: number;
	/** Bound of its operations over the whole fleet; undefined where it has none. */
	readonly limit?: RateLimit;
};

/** A token bucket's figures. */
export type RateLimit = {
	/** Operations a second. */
	readonly ratePerSecond: number;
	/** Operations that may come at once after a rest. */
	readonly burst: number;
};
