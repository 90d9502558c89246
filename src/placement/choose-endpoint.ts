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

/** Longer way to an endpoint in another zone, there and back, in milliseconds: 1 to 3 each way at the users' sites, less what it is within one. */
const OTHER_ZONE_WAY_MS = 3;

/**
 * Handicap of an endpoint in another zone, beside the way, in usual statements of the fastest candidate: bytes between zones have a price, so a
 * read goes there where that saves more than so much.
 */
const OTHER_ZONE_STATEMENTS = 2.5;

/**
 * Handicap of the primary, in usual statements of the fastest candidate: writes and the reads that need every commit can run nowhere else.
 *
 * In statements and not in milliseconds, since a queue of one statement is 40 ms at one site and 3 at another. Against 25 ms for another zone and
 * 30 for the primary (`npm run bench -- site-load`, 3 seeds): requests that only a primary serves get 0.975 of their credit in place of 0.919 at the
 * sleep logs, whose replicas serve 86% of the reads in place of 77; the filings stay at 0.993.
 */
const PRIMARY_STATEMENTS = 6;

/**
 * A replica that is further behind than this is no candidate, in milliseconds: the reads wait no longer in hope of a prediction, which is
 * best for short times. Reads are wanted within 300 to 600 ms.
 */
export const LONGEST_CATCH_UP_MS = 250;

/** Chooses where a read runs; undefined where there is no candidate. */
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
	if (catchUpMs > LONGEST_CATCH_UP_MS) {
		return Number.POSITIVE_INFINITY;
	}

	const waitMs = ((load + 1) / slots) * serviceMs;
	const zoneMs = sameZone ? 0 : OTHER_ZONE_WAY_MS + (OTHER_ZONE_STATEMENTS * statementMs);
	return waitMs + catchUpMs + zoneMs + (isPrimary ? PRIMARY_STATEMENTS * statementMs : 0);
}
