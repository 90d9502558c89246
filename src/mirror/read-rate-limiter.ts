/** Limits how often a host reads the store outside the schedule. */
export type ReadRateLimiter = {
	/** Takes a permit for one read at the steady time `now`; returns false if this host, one of `hosts`, has used up its share. */
	take(hosts: number, now: number): boolean;
};

/**
 * Minimum interval between two such reads of one host, in milliseconds per host of the fleet: twenty reads a second in all, however many hosts there are. Protects the store
 * from hundreds of hosts whose updates are overdue at once, as in an outage that their reads cannot end.
 */
const INTERVAL_PER_HOST_MS = 50;

/** Creates the limiter of one host, whose first read is permitted at once. */
export function createReadRateLimiter(): ReadRateLimiter {
	let nextAt = Number.NEGATIVE_INFINITY;

	return {
		take(hosts, now) {
			if (now < nextAt) {
				return false;
			}

			nextAt = now + (hosts * INTERVAL_PER_HOST_MS);
			return true;
		},
	};
}
