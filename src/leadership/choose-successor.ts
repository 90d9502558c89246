import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointStatus} from '../links/endpoint-link.js';
import {compareLogPositions} from '../terms/log-position.js';
import {LeadershipPhase, type LeadershipRecord} from './leadership-record.js';

/** An endpoint that could become primary, with the status it reported. */
export type SuccessorCandidate = {
	readonly endpointId: string;
	readonly leaving: boolean;
	readonly status: EndpointStatus;
};

/** The leadership of a group before its primary is replaced. */
export type FormerLeadership = Pick<LeadershipRecord, 'primaryId' | 'term' | 'phase'>;

/**
 * Returns the candidates, best first: ordered by log position, its term first, so that the fewest acknowledged commits are rolled back.
 * Among candidates with equal logs one that is already primary comes first, and one that is leaving comes last: choosing it costs a second change,
 * but no data. Among the others that with the smallest distance from the group's callers comes first, where `getDistance` is given.
 */
export function rankSuccessors(candidates: readonly SuccessorCandidate[], before: FormerLeadership, getDistance?: (endpointId: string) => number): readonly SuccessorCandidate[] {
	return candidates.toSorted((left, right) => compareLogPositions(right.status.received, left.status.received)
		|| Number(isAlreadyLeading(right, before)) - Number(isAlreadyLeading(left, before))
		|| Number(left.leaving) - Number(right.leaving)
		|| Number(isPrimary(left)) - Number(isPrimary(right))
		|| (getDistance ? getDistance(left.endpointId) - getDistance(right.endpointId) : 0));
}

/**
 * Returns the lowest term in which a promoted endpoint has to be primary.
 *
 * A superseded primary still reports itself as primary and would seem promoted before the order takes effect: what it commits until then is lost with
 * its old term. Only the group's recorded primary may remain primary in the same term, if it turns out to be running, and only if no earlier
 * replacement was begun that may have promoted another endpoint. A primary of a later term than the recorded one was promoted by a host that
 * died before it could record that.
 */
export function getMinTerm(candidate: SuccessorCandidate, before: FormerLeadership): number {
	return isAlreadyLeading(candidate, before) ? candidate.status.term : Math.max(before.term, candidate.status.term) + 1;
}

/**
 * Whether the group's recorded primary, after an order to promote it, has turned out never to have been replaced: an order to any other endpoint
 * takes effect and raises the term long before the wait for it ends.
 */
export function isNeverReplaced(endpointId: string, status: EndpointStatus, before: FormerLeadership): boolean {
	return endpointId === before.primaryId && status.role === EndpointRole.Primary && status.term === before.term;
}

function isAlreadyLeading(candidate: SuccessorCandidate, before: FormerLeadership) {
	const isUnreplaced = before.phase === LeadershipPhase.Steady && isNeverReplaced(candidate.endpointId, candidate.status, before);
	return isUnreplaced || (isPrimary(candidate) && candidate.status.term > before.term);
}

function isPrimary({status}: SuccessorCandidate) {
	return status.role === EndpointRole.Primary;
}
