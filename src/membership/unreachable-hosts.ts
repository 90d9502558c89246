/** The hosts that this host failed to reach of late, by address. */
export type UnreachableHosts = {
	/** Tells whether the host is to be left alone at `now`. */
	has(address: string, now: number): boolean;
	/** Notes a failure; tells whether it changed what `has` answers. */
	add(address: string, now: number): boolean;
	/** Forgets a host that answered; tells whether it was held. */
	delete(address: string): boolean;
	/** When the next backoff ends, Infinity where none runs. */
	getNextEnd(now: number): number;
	/** Forgets every host that is not at one of these addresses. */
	keepOnly(addresses: ReadonlySet<string>): void;
};

type Backoff = {
	readonly ms: number;
	readonly endsAt: number;
};

/** First backoff, in milliseconds; each further failure doubles it. */
const FIRST_BACKOFF_MS = 250;

/** Longest backoff, in milliseconds. */
const LONGEST_BACKOFF_MS = 5000;

/** Creates an empty set. */
export function createUnreachableHosts(): UnreachableHosts {
	const backoffs = new Map<string, Backoff>();

	const has = (address: string, now: number) => {
		const backoff = backoffs.get(address);
		return backoff !== undefined && now < backoff.endsAt;
	};

	return {
		has,
		add(address, now) {
			// All calls on a broken link fail at once: together they are one failure.
			if (has(address, now)) {
				return false;
			}

			const before = backoffs.get(address);
			const ms = before ? Math.min(before.ms * 2, LONGEST_BACKOFF_MS) : FIRST_BACKOFF_MS;
			backoffs.set(address, {ms, endsAt: now + ms});
			return true;
		},
		delete: address => backoffs.delete(address),
		getNextEnd(now) {
			let next = Infinity;
			for (const {endsAt} of backoffs.values()) {
				if (endsAt > now) {
					next = Math.min(next, endsAt);
				}
			}

			return next;
		},
		keepOnly(addresses) {
			for (const address of backoffs.keys()) {
				if (!addresses.has(address)) {
					backoffs.delete(address);
				}
			}
		},
	};
}
