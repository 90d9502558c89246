/** Permits a host to read the store out of its turn. */
export type ReadPermit = {
	/** Takes the permission of one of `hosts` hosts at the steady time `now`; false where this host has had its share. */
	take(hosts: number, now: number): boolean;
};

/**
 * Time that each host of the fleet has for one reading out of turn, in milliseconds: twenty a second in all, however many hosts there are. Guards the store against
 * hundreds of hosts that all find their news overdue, as in an outage that they cannot mend by asking.
 */
const TIME_PER_HOST_MS = 50;

/** Creates the permit of one host, which may read at once. */
export function createReadPermit(): ReadPermit {
	let nextAt = Number.NEGATIVE_INFINITY;

	return {
		take(hosts, now) {
			if (now < nextAt) {
				return false;
			}

			nextAt = now + (hosts * TIME_PER_HOST_MS);
			return true;
		},
	};
}
