/** Whether another region still answers this host. */
export type RegionContact = {
	/** Notes that a host or an endpoint of the region has answered. */
	noteAnswer(now: number): void;
	/** Notes that a host or an endpoint of the region, named by `target`, has not answered in time. `isProof` is whether the call is one that a running host answers at once. */
	noteSilence(target: string, isProof: boolean, now: number): void;
	/** Returns whether the region counts as lost. */
	isLost(now: number): boolean;
};

/** Number of different hosts or endpoints that have to be silent: one may be down while its region is not. */
const MIN_SILENT_TARGETS = 2;

/** Time without an answer after which the region may count as lost, in milliseconds: about fifty round trips. */
const LOST_AFTER_MS = 1000;

/** Time after which an observed silence no longer counts, in milliseconds: longer than the interval between probes of a lost region. */
const SILENCE_TTL_MS = 5000;

/** Creates the contact with a region that counts as answering. */
export function createRegionContact(): RegionContact {
	const silentAt = new Map<string, number>();
	let isProved = false;
	let answeredAt = Number.NEGATIVE_INFINITY;

	return {
		noteAnswer(now) {
			answeredAt = now;
			isProved = false;
			silentAt.clear();
		},
		// Statements also time out where endpoints are overloaded, so only a call that is answered at once proves that the way is lost.
		noteSilence(target, isProof, now) {
			isProved ||= isProof;
			silentAt.set(target, now);
		},
		isLost(now) {
			if (!isProved || silentAt.size < MIN_SILENT_TARGETS || now - answeredAt < LOST_AFTER_MS) {
				return false;
			}

			return [...silentAt.values()].filter(at => now - at < SILENCE_TTL_MS).length >= MIN_SILENT_TARGETS;
		},
	};
}
