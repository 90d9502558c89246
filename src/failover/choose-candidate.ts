import type {EndpointStatus} from '../endpoints/endpoint.js';
import {type EndpointConfig, EndpointOrder} from '../groups/group-config.js';
import {compareLogPositions} from '../terms/log-position.js';

/** A server that granted a term, as it showed itself then. */
export type FencedServer = {
	readonly endpoint: EndpointConfig;
	readonly status: EndpointStatus;
};

/** What decides between servers whose logs are equal. */
export type CandidatePreference = {
	/** The endpoint wanted, where there is one. */
	readonly preferred?: string;
	/** The endpoint under suspicion, taken only where no other is as good. */
	readonly suspect?: string;
	/** Whether the host of the server at that address is leaving. */
	isHostLeaving(address: string): boolean;
};

/** Tells whether an endpoint is to get work: neither drained nor stopped nor leaving. */
export function isServing(endpoint: EndpointConfig, status: EndpointStatus | undefined, isHostLeaving: (address: string) => boolean): boolean {
	return endpoint.order === EndpointOrder.Serve && !status?.leaving && !isHostLeaving(endpoint.address);
}

/**
 * Chooses whom to promote among the servers that a majority of the group's fences granted; undefined where there are none.
 *
 * The log decides before anything else: an acknowledged write is in the highest log of every majority, and in no
 * other log for certain. An endpoint that is drained may therefore be promoted; the planned change follows later.
 */
export function chooseCandidate(fenced: readonly FencedServer[], preference: CandidatePreference): FencedServer | undefined {
	const getDemerits = ({endpoint, status}: FencedServer) => {
		if (endpoint.name === preference.preferred) {
			return 0;
		}

		const suspect = endpoint.name === preference.suspect ? 2 : 0;
		const leaving = isServing(endpoint, status, address => preference.isHostLeaving(address)) ? 0 : 4;
		return 1 + suspect + leaving;
	};

	return fenced
		.toSorted((left, right) => compareLogPositions(right.status.log, left.status.log) || getDemerits(left) - getDemerits(right))
		.at(0);
}
