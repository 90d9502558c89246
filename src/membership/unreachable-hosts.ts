/** The hosts that this host recently failed to reach, by address. */
export type UnreachableHosts = {
	/** Returns whether the host's backoff runs at `now`, so that it is not to be called. */
	has(address: string, now: number): boolean;
	/** Records a failure; returns whether that changed the result of `has`. */
	add(address: string, now: number): boolean;
	/** Removes a host that responded; returns whether it was in the set. */
	delete(address: string): boolean;
	/** Returns the time at which the next backoff ends; Infinity if none runs. */
	getNextEnd(now: number): number;
	/** Removes every host that is not at one of these addresses. */
	keepOnly(addresses: ReadonlySet<string>): void;
};

type Backoff = {
	readonly ms: number;
	readonly endsAt: number;
};

/** First backoff, in milliseconds; each further failure doubles it. */
const INITIAL_BACKOFF_MS = 250;

/** Maximum backoff, in milliseconds. */
const MAX_BACKOFF_MS = 5000;

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
			// All calls on a broken link fail at once and count as one failure.
			if (has(address, now)) {
				return false;
			}

			const before = backoffs.get(address);
			const ms = before ? Math.min(before.ms * 2, MAX_BACKOFF_MS) : INITIAL_BACKOFF_MS;
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
