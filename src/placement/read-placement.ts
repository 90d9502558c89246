import {chooseEndpoint, type ReadCandidate} from './choose-endpoint.js';

/** Decides where reads run. */
export type ReadPlacement = {
	/** The endpoint for one read; undefined where no candidate serves. */
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined;
};

/** Places reads by what this host knows of each endpoint: its load and service time, its lag and its zone. */
export class WeighedPlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		return chooseEndpoint(candidates);
	}
}
