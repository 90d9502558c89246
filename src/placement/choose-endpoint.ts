/** What a placement knows of an endpoint. */
export type ReadCandidate = {
	readonly endpointId: string;
	/** The primary under evidence: it holds every position, and needs no floor. */
	readonly isPrimary: boolean;
	readonly sameZone: boolean;
	/** Statements of this host that run or wait there. */
	readonly load: number;
	readonly slots: number;
	/** Usual time of a statement there, in milliseconds. */
	readonly serviceMs: number;
	/** Predicted time until it holds what the read has to see, in milliseconds. */
	readonly catchUpMs: number;
};

/**
 * Advantage of an endpoint in the host's own zone, in milliseconds. Another zone is 1 to 3 ms away; the rest is what
 * bytes between zones are worth, so that a read goes to another zone where it saves more time than a statement takes.
 */
export const OTHER_ZONE_MS = 25;

/**
 * Handicap of the primary, in milliseconds: writes and the reads that need every commit can run nowhere else, so other
 * reads go there only where replicas would keep them waiting for longer than a long statement takes.
 */
export const PRIMARY_MS = 30;

/**
 * A replica that is further behind than this is no candidate, in milliseconds: the reads wait no longer in hope of a prediction, which is
 * best for short times. Reads are wanted within 300 to 600 ms.
 */
export const LONGEST_CATCH_UP_MS = 250;

/** Chooses where a read runs; undefined where there is no candidate. */
export function chooseEndpoint(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
	let best: ReadCandidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

function getCost({isPrimary, sameZone, load, slots, serviceMs, catchUpMs}: ReadCandidate) {
	if (catchUpMs > LONGEST_CATCH_UP_MS) {
		return Number.POSITIVE_INFINITY;
	}

	const waitMs = ((load + 1) / slots) * serviceMs;
	return waitMs + catchUpMs + (sameZone ? 0 : OTHER_ZONE_MS) + (isPrimary ? PRIMARY_MS : 0);
}
