import {type EndpointStatus, EndpointRole} from '../links/endpoint-link.js';
import {compareLogPositions} from '../terms/log-position.js';

/** An endpoint that could lead, with what it said of itself. */
export type SuccessorCandidate = {
	readonly endpointId: string;
	readonly leaving: boolean;
	readonly status: EndpointStatus;
};

/**
 * Orders the endpoints that could lead, best first: one that leads already in a later or equal term before all, then the furthest log, so that the
 * fewest commits are rolled back. One that leaves is a last resort.
 */
export function rankSuccessors(candidates: readonly SuccessorCandidate[]): readonly SuccessorCandidate[] {
	return candidates.toSorted((left, right) => Number(left.leaving) - Number(right.leaving)
		|| right.status.term - left.status.term
		|| Number(isPrimary(right)) - Number(isPrimary(left))
		|| compareLogPositions(right.status.received, left.status.received));
}

function isPrimary({status}: SuccessorCandidate) {
	return status.role === EndpointRole.Primary;
}
