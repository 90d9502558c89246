import {type EndpointStatus, EndpointRole} from '../links/endpoint-link.js';
import {compareLogPositions} from '../terms/log-position.js';
import type {LeadershipRecord} from './leadership-record.js';

/** An endpoint that could lead, with what it said of itself. */
export type SuccessorCandidate = {
	readonly endpointId: string;
	readonly leaving: boolean;
	readonly status: EndpointStatus;
};

/**
 * Orders the endpoints that could lead, best first: the furthest log, its term first, so that the fewest acknowledged commits are rolled back.
 * Only among equals one that leads already goes first, and one that leaves last: being led by it costs a second change, not data.
 */
export function rankSuccessors(candidates: readonly SuccessorCandidate[]): readonly SuccessorCandidate[] {
	return candidates.toSorted((left, right) => compareLogPositions(right.status.received, left.status.received)
		|| Number(isPrimary(right)) - Number(isPrimary(left))
		|| Number(left.leaving) - Number(right.leaving));
}

/**
 * The term that a promoted endpoint has to lead in at least.
 *
 * Guards against a superseded primary, which calls itself one and would seem promoted before the order takes effect: what it
 * commits until then is lost with its old term. Only the group's own primary may lead on in the same term, where it turned
 * out to live; and one that leads in a later term than is recorded was promoted by a host that died before it could say so.
 */
export function getLeastTerm(candidate: SuccessorCandidate, before: Pick<LeadershipRecord, 'primaryId' | 'term'>): number {
	const {endpointId, status} = candidate;
	const leadsOn = isPrimary(candidate) && endpointId === before.primaryId && status.term === before.term;
	const leadsAlready = isPrimary(candidate) && status.term > before.term;
	return leadsOn || leadsAlready ? status.term : Math.max(before.term, status.term) + 1;
}

function isPrimary({status}: SuccessorCandidate) {
	return status.role === EndpointRole.Primary;
}
