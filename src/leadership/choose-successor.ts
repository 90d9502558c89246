import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointStatus} from '../links/endpoint-link.js';
import {compareLogPositions} from '../terms/log-position.js';
import {LeadPhase, type LeadershipRecord} from './leadership-record.js';

/** An endpoint that could lead, with what it said of itself. */
export type SuccessorCandidate = {
	readonly endpointId: string;
	readonly leaving: boolean;
	readonly status: EndpointStatus;
};

/** The record of a group as it was before its primary is replaced. */
export type FormerLead = Pick<LeadershipRecord, 'primaryId' | 'term' | 'phase'>;

/**
 * Orders the endpoints that could lead, best first: the furthest log, its term first, so that the fewest acknowledged commits are rolled back.
 * Only among equals one that leads already goes first, and one that leaves last: being led by it costs a second change, not data.
 */
export function rankSuccessors(candidates: readonly SuccessorCandidate[], before: FormerLead): readonly SuccessorCandidate[] {
	return candidates.toSorted((left, right) => compareLogPositions(right.status.received, left.status.received)
		|| Number(leadsAtOnce(right, before)) - Number(leadsAtOnce(left, before))
		|| Number(left.leaving) - Number(right.leaving)
		|| Number(isPrimary(left)) - Number(isPrimary(right)));
}

/**
 * The term that a promoted endpoint has to lead in at least.
 *
 * Guards against a superseded primary, which calls itself one and would seem promoted before the order takes effect: what it
 * commits until then is lost with its old term. Only the group's own primary may lead on in the same term, where it turned
 * out to live, and only where no earlier replacement was begun that may have promoted another; and one that leads in a later
 * term than is recorded was promoted by a host that died before it could say so.
 */
export function getLeastTerm(candidate: SuccessorCandidate, before: FormerLead): number {
	return leadsAtOnce(candidate, before) ? candidate.status.term : Math.max(before.term, candidate.status.term) + 1;
}

/**
 * Whether the group's own primary, ordered to lead, has turned out never to have been replaced: an order to any other endpoint
 * takes effect, and raises the term, long before the wait for it ends.
 */
export function isNeverReplaced(endpointId: string, status: EndpointStatus, before: FormerLead): boolean {
	return endpointId === before.primaryId && status.role === EndpointRole.Primary && status.term === before.term;
}

function leadsAtOnce(candidate: SuccessorCandidate, before: FormerLead) {
	const leadsOn = before.phase === LeadPhase.Steady && isNeverReplaced(candidate.endpointId, candidate.status, before);
	return leadsOn || (isPrimary(candidate) && candidate.status.term > before.term);
}

function isPrimary({status}: SuccessorCandidate) {
	return status.role === EndpointRole.Primary;
}
