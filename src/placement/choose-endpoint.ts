/** An endpoint that may serve a read, with the inputs of its cost. */
export type ReadCandidate = {
	readonly endpointId: string;
	/** Whether it is the primary and this host holds its lease: it holds every position, and needs no floor. */
	readonly isPrimary: boolean;
	readonly sameZone: boolean;
	/** Number of this host's statements that run or wait there. */
	readonly load: number;
	readonly slots: number;
	/** Smoothed time of a statement there, in milliseconds. */
	readonly serviceMs: number;
	/** Predicted time until it holds the read's floor, in milliseconds. */
	readonly catchUpMs: number;
	/** Estimate of its time to the response; undefined where reads are placed without one. */
	readonly estimate?: CompletionEstimate;
};

/** Parts of the expected time to the response of an endpoint, and what limits its use. Times are in milliseconds. */
export type CompletionEstimate = {
	readonly roundTripMs: number;
	/** Predicted wait for a connection and a place. */
	readonly waitMs: number;
	readonly serviceMs: number;
	/** Time for opening a connection, where none is open. */
	readonly openMs: number;
	/** Whether the wait is known from a recent report, so that a read may be refused because of it. */
	readonly isKnown: boolean;
	/** Age of the newest load report; Infinity where there is none, 0 at a pool host of the endpoint. */
	readonly loadAgeMs: number;
	/** Whether it uses less than half of its concurrency budget. */
	readonly isIdle: boolean;
	/** Share of the reads that it may get where another endpoint can serve them, from 0 to 1. */
	readonly share: number;
	/** Whether it is closed, and may get a single read that shows whether it still is. */
	readonly isTrial: boolean;
};

/** Extra round-trip time to an endpoint in another zone, in milliseconds: 1 to 3 each way at the users' sites, less the time within a zone. */
const CROSS_ZONE_EXTRA_RTT_MS = 3;

/**
 * Penalty of an endpoint in another zone beside the round trip, in mean statement times of the fastest candidate: traffic between zones is
 * charged for, so a read goes there only where that saves more than this.
 */
const CROSS_ZONE_PENALTY_STATEMENTS = 2.5;

/**
 * Penalty of the primary, in mean statement times of the fastest candidate: writes and the reads that need every commit can run nowhere else.
 *
 * It is in statements and not in milliseconds, since a queue of one statement takes 40 ms at one site and 3 at another. Compared with penalties of
 * 25 ms for another zone and 30 for the primary (`npm run bench -- site-load`, 3 seeds), requests that only a primary serves earn 0.975 of the credit
 * that the bench gives for response times instead of 0.919 at its site of sleep logs, whose replicas serve 86% of the reads instead of 77%. Its site
 * of filings stays at 0.993.
 */
const PRIMARY_PENALTY_STATEMENTS = 6;

/**
 * Maximum predicted catch-up time at which a replica is a candidate, in milliseconds: predictions are best for short times, and no read
 * waits longer because of one. The latency targets of reads are 300 to 600 ms.
 */
export const MAX_CATCH_UP_MS = 250;

/** Returns the candidate with the lowest estimated cost for a read; undefined where none can serve it. */
export function chooseEndpoint(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
	const statementMs = Math.min(...candidates.map(({serviceMs}) => serviceMs));
	let best: ReadCandidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate, statementMs);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

function getCost({isPrimary, sameZone, load, slots, serviceMs, catchUpMs}: ReadCandidate, statementMs: number) {
	if (catchUpMs > MAX_CATCH_UP_MS) {
		return Number.POSITIVE_INFINITY;
	}

	const waitMs = ((load + 1) / slots) * serviceMs;
	const zoneMs = sameZone ? 0 : CROSS_ZONE_EXTRA_RTT_MS + (CROSS_ZONE_PENALTY_STATEMENTS * statementMs);
	return waitMs + catchUpMs + zoneMs + (isPrimary ? PRIMARY_PENALTY_STATEMENTS * statementMs : 0);
}
