import {chooseEndpoint, type ReadCandidate} from './choose-endpoint.js';

/** Chooses the endpoints on which reads run. */
export type ReadPlacement = {
	/** Returns the endpoint for one read; undefined where no candidate can serve it, in the time that it has where that is given. */
	choose(candidates: readonly ReadCandidate[], timeLeft?: ReadTimeLeft): ReadCandidate | undefined;
};

/** The time that a read has left, in milliseconds. */
export type ReadTimeLeft = {
	/** Time until its latency target. */
	readonly targetMs: number;
	/** Time after which its response is of no more use. */
	readonly limitMs: number;
};

/** Chooses the endpoint with the lowest estimated cost, from its load, service time, lag, zone and role. */
export class CostBasedPlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		return chooseEndpoint(candidates);
	}
}
