/** Decides how long a request waits at one pool host, and when a pool host that does not respond is taken for failed. */
export interface PoolHostWait {
	/** Returns how long a request whose wait ends at the steady time `until` may wait at one pool host, in milliseconds. */
	getWaitMs(until: number, now: number): number;
	/** Resolves with the response to `loan-open`; with undefined where the pool host is taken for failed, or nobody waits any more. Rejects as the call does. */
	whenOpened<T>(poolHost: string, response: Promise<T>, isWanted: () => boolean): Promise<T | undefined>;
	/** Resolves with the response to `loan-run`, which was sent with a wait of `waitMs`; with undefined as for {@link whenOpened}. */
	whenRun<T>(poolHost: string, waitMs: number, response: Promise<T>, isWanted: () => boolean): Promise<T | undefined>;
}
