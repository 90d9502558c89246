/** A pool host's share of the concurrency budget of one endpoint, and who allocates it. */
export type RoomShare = {
	/** Returns the share that was granted last, or `equalShare` where no grant is in force at `now`. */
	getLimit(equalShare: number, now: number): number;
	/** Returns whether a grant is in force. */
	isGranted(now: number): boolean;
	/** Returns the `ip:port` of the allocator: the first of the pool hosts, in order of rank, that is not skipped. */
	getAllocator(poolHosts: readonly string[]): string | undefined;
	/** Returns whether the pool host did not respond as the allocator, and has not responded to a probe since. */
	isSkipped(poolHost: string): boolean;
	/** Returns a pool host ranked before the allocator that was skipped and is due to be asked whether it responds again; undefined where there is none. */
	takeProbe(poolHosts: readonly string[], now: number): string | undefined;
	/** Notes a grant in response to a report, in force until the steady time `until`. */
	noteGranted(limit: number, until: number): void;
	/** Notes that a report got no response; returns whether the allocator is skipped from now on. */
	noteFailed(allocator: string, now: number): boolean;
	/** Notes that a skipped pool host responded to a probe; it is no longer skipped. */
	noteResponding(poolHost: string): void;
};

/**
 * Number of reports in a row without a response after which the allocator is skipped. The second fails 300 ms after the last response at the latest. One failure alone may be this host's own: after it
 * was suspended, the time of the report that was on its way is over.
 */
const MAX_FAILURES = 2;

/** First time after which a skipped pool host is probed, in milliseconds; it doubles with each probe that fails. */
const MIN_PROBE_DELAY_MS = 500;

/** Maximum time between two probes, in milliseconds. */
const MAX_PROBE_DELAY_MS = 8000;

type Skip = {
	readonly delayMs: number;
	readonly probeAt: number;
};

/** Creates the share of a host without a grant. */
export function createRoomShare(): RoomShare {
	const skips = new Map<string, Skip>();
	let grant: {readonly limit: number; readonly until: number} | undefined;
	let failures = 0;

	const skip = (poolHost: string, now: number) => {
		const delayMs = Math.min(MAX_PROBE_DELAY_MS, (skips.get(poolHost)?.delayMs ?? MIN_PROBE_DELAY_MS / 2) * 2);
		skips.set(poolHost, {delayMs, probeAt: now + delayMs});
	};

	const isGranted = (now: number) => grant !== undefined && now < grant.until;

	return {
		getLimit: (equalShare, now) => isGranted(now) ? grant!.limit : equalShare,
		isGranted,
		getAllocator: poolHosts => poolHosts.find(poolHost => !skips.has(poolHost)) ?? poolHosts[0],
		isSkipped: poolHost => skips.has(poolHost),
		takeProbe(poolHosts, now) {
			for (const poolHost of poolHosts) {
				const skipped = skips.get(poolHost);
				if (!skipped) {
					return undefined;
				}

				if (now >= skipped.probeAt) {
					skip(poolHost, now);
					return poolHost;
				}
			}

			return undefined;
		},
		noteGranted(limit, until) {
			grant = {limit, until};
			failures = 0;
		},
		noteFailed(allocator, now) {
			grant = undefined;
			failures++;
			if (failures < MAX_FAILURES) {
				return false;
			}

			failures = 0;
			skip(allocator, now);
			return true;
		},
		noteResponding(poolHost) {
			skips.delete(poolHost);
		},
	};
}
