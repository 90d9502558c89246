import {chooseEndpoint, type ReadCandidate} from './choose-endpoint.js';

/** Chooses the endpoints on which reads run. */
export type ReadPlacement = {
	/** Returns the endpoint for one read; undefined where no candidate can serve it. */
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined;
};

/** Chooses the endpoint with the lowest estimated cost, from its load, service time, lag, zone and role. */
export class CostBasedPlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		return chooseEndpoint(candidates);
	}
}
