/** The proxies that said of late that they are stopping, by address. */
export type LeavingHosts = {
	has(address: string, now: number): boolean;
	add(address: string, now: number): void;
	/** When the next word lapses, Infinity where there is none. */
	getNextEnd(now: number): number;
};

/**
 * How long a proxy's word that it is stopping counts, in milliseconds.
 *
 * Longer than a stop takes by default, so that the gap until its links break is bridged; bounded, since another process
 * may start at the same address before the platform's list has shown a change.
 */
export const LEAVING_WORD_MS = 15_000;

/** Creates an empty set. */
export function createLeavingHosts(): LeavingHosts {
	const endsAt = new Map<string, number>();

	return {
		has: (address, now) => now < (endsAt.get(address) ?? -Infinity),
		add(address, now) {
			endsAt.set(address, now + LEAVING_WORD_MS);
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
