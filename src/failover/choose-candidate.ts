import type {EndpointStatus} from '../endpoints/endpoint.js';
import {type EndpointConfig, EndpointOrder} from '../groups/group-config.js';
import {compareLogPositions} from '../terms/log-position.js';

/** A server that granted a term, with its status at that time. */
export type FencedServer = {
	readonly endpoint: EndpointConfig;
	readonly status: EndpointStatus;
};

/** Decides between servers whose logs are equal. */
export type CandidatePreference = {
	/** The endpoint to prefer, if any. */
	readonly preferred?: string;
	/** The suspected endpoint, chosen over another one with an equal log only where that one is drained, stopped or leaving. */
	readonly suspect?: string;
	/** Returns whether the host of the server at that address is leaving. */
	isHostLeaving(address: string): boolean;
};

/** Returns whether an endpoint may get work: it is neither drained nor stopped nor leaving. */
export function isServing(endpoint: EndpointConfig, status: EndpointStatus | undefined, isHostLeaving: (address: string) => boolean): boolean {
	return endpoint.order === EndpointOrder.Serve && !status?.leaving && !isHostLeaving(endpoint.address);
}

/**
 * Chooses the server to promote among the majority that granted the term; undefined where there are none.
 *
 * The log decides first: the highest log of every majority contains each acknowledged write, and any other log may lack
 * some of them. A drained endpoint may therefore be promoted; a planned change replaces it later.
 */
export function chooseCandidate(fenced: readonly FencedServer[], preference: CandidatePreference): FencedServer | undefined {
	const getPenalty = ({endpoint, status}: FencedServer) => {
		if (endpoint.name === preference.preferred) {
			return 0;
		}

		const suspect = endpoint.name === preference.suspect ? 2 : 0;
		const leaving = isServing(endpoint, status, address => preference.isHostLeaving(address)) ? 0 : 4;
		return 1 + suspect + leaving;
	};

	return fenced
		.toSorted((left, right) => compareLogPositions(right.status.log, left.status.log) || getPenalty(left) - getPenalty(right))
		.at(0);
}
