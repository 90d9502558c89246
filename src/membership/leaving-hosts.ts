/** The proxies that recently reported that they are stopping, by address. */
export type LeavingHosts = {
	has(address: string, now: number): boolean;
	add(address: string, now: number): void;
	/** Returns the time at which the next report expires; Infinity if there is none. */
	getNextEnd(now: number): number;
};

/**
 * Time for which a proxy's report that it is stopping is valid, in milliseconds.
 *
 * Longer than a stop takes by default, to cover the time until the proxy's links break; limited, since another process
 * may start at the same address before the platform's list has shown a change.
 */
export const LEAVING_TTL_MS = 15_000;

/** Creates an empty set. */
export function createLeavingHosts(): LeavingHosts {
	const endsAt = new Map<string, number>();

	return {
		has: (address, now) => now < (endsAt.get(address) ?? -Infinity),
		add(address, now) {
			endsAt.set(address, now + LEAVING_TTL_MS);
		},
		getNextEnd(now) {
			for (const [address, end] of endsAt) {
				if (end <= now) {
					endsAt.delete(address);
				}
			}

			return Math.min(...endsAt.values());
		},
	};
}
