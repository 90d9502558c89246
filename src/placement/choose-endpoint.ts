import {holdsLogPosition, type LogPosition} from '../terms/log-position.js';

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
	/** Position that it was last seen to hold. */
	readonly held?: LogPosition;
	/** Steady time until which it is expected to lack the floors that it lacked last. */
	readonly laggingUntil: number;
};

/**
 * Advantage of an endpoint in the host's own zone, in milliseconds. Another zone is 1 to 3 ms away; the rest is what
 * bytes between zones are worth, so that a read goes to another zone where it saves more time than a short statement takes.
 */
export const OTHER_ZONE_MS = 12;

/**
 * Handicap of the primary, in milliseconds: writes and the reads that need every commit can run nowhere else, so other
 * reads go there only where replicas would keep them waiting for longer than a long statement takes.
 */
export const PRIMARY_MS = 30;

/** Chooses where a read runs at the steady time `now`; undefined where there is no candidate. */
export function chooseEndpoint(candidates: readonly ReadCandidate[], floor: LogPosition | undefined, now: number): ReadCandidate | undefined {
	let best: ReadCandidate | undefined;
	let bestCost = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const cost = getCost(candidate, floor, now);
		if (cost < bestCost) {
			best = candidate;
			bestCost = cost;
		}
	}

	return best;
}

function getCost(candidate: ReadCandidate, floor: LogPosition | undefined, now: number) {
	if (!candidate.isPrimary && isTooFarBehind(candidate, floor, now)) {
		return Number.POSITIVE_INFINITY;
	}

	const waitMs = ((candidate.load + 1) / candidate.slots) * candidate.serviceMs;
	return waitMs + (candidate.sameZone ? 0 : OTHER_ZONE_MS) + (candidate.isPrimary ? PRIMARY_MS : 0);
}

function isTooFarBehind({held, laggingUntil}: ReadCandidate, floor: LogPosition | undefined, now: number) {
	return floor !== undefined && now < laggingUntil && !(held && holdsLogPosition(held, floor));
}
