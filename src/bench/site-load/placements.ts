import {MAX_CATCH_UP_MS, type ReadCandidate} from '../../placement/choose-endpoint.js';
import {CompletionTimePlacement, getCompletionMs} from '../../placement/completion-time-placement.js';
import {CostBasedPlacement, type ReadPlacement, type ReadTimeLeft} from '../../placement/read-placement.js';
import type {ProxyFeatures} from '../../proxy/proxy-features.js';
import type {Random} from '../../random/random.js';
import type {PlainServer} from '../../stand-ins/plain-group/plain-server.js';

/** A policy for placing reads; each host creates a placement of its own. */
export type PlacementPolicy = {
	readonly name: string;
	create(findServer: (id: string) => PlainServer, random: Random): ReadPlacement;
	/** Features of each proxy; none by default. */
	readonly features?: ProxyFeatures;
};

/** The product's placement. */
export const COST_BASED: PlacementPolicy = {name: 'load, lag and zone weighed', create: () => new CostBasedPlacement()};

const SCHEDULING: ProxyFeatures = {
	scheduling: {
		capacity: 1, poolHosts: 3, roomFactor: 1.5, leastShare: 0.1,
	},
};

/** The product's placement where callers compete for endpoints. */
export const COMPLETION_TIME: PlacementPolicy = {
	name: 'time to response', create: (_, random) => new CompletionTimePlacement(random), features: SCHEDULING,
};

/** The same without the random choice among candidates of similar times: each host takes the one with the lowest expected time. */
export const LOWEST_TIME: PlacementPolicy = {
	name: 'time to response, always the lowest', create: () => new LowestTimePlacement(), features: SCHEDULING,
};

/** The earlier placement by cost, with the feature's predictions of catch-up and its outliers. */
export const COST_BASED_WITH_ESTIMATES: PlacementPolicy = {
	name: 'load, lag and zone weighed, with estimates', create: () => new CostBasedPlacement(), features: SCHEDULING,
};

/** Takes the lowest expected time, whatever the role of the endpoint. */
class LowestTimePlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[], timeLeft?: ReadTimeLeft): ReadCandidate | undefined {
		const trial = candidates.find(({estimate}) => estimate?.isTrial);
		const timed = candidates.filter(candidate => getCompletionMs(candidate) <= (timeLeft?.limitMs ?? Number.POSITIVE_INFINITY));
		return trial ?? timed.toSorted((left, right) => getCompletionMs(left) - getCompletionMs(right))[0];
	}
}

/** Places every read at the primary, like a proxy that does not know replicas. */
class PrimaryPlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		return candidates.find(({isPrimary}) => isPrimary);
	}
}

/** Places reads at the replicas by turns, regardless of their load and lag, and at the other candidates where there is no replica. */
class RoundRobinPlacement implements ReadPlacement {
	private reads = 0;

	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		const replicas = candidates.filter(({isPrimary}) => !isPrimary);
		const from = replicas.length > 0 ? replicas : candidates;
		this.reads++;
		return from[this.reads % from.length];
	}
}

/** Places reads by turns at the replicas in the host's own zone, or at all replicas where that zone has none. */
class OwnZonePlacement extends RoundRobinPlacement {
	override choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		const near = candidates.filter(({sameZone, isPrimary}) => sameZone && !isPrimary);
		return super.choose(near.length > 0 ? near : candidates);
	}
}

/** Applies the product's costs to the true load of each server, from all hosts, and its true added time, which only the simulation knows. */
class OraclePlacement extends CostBasedPlacement {
	constructor(private readonly findServer: (id: string) => PlainServer) {
		super();
	}

	override choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		return super.choose(candidates.map(candidate => {
			const {slots, slowMs} = this.findServer(candidate.endpointId);
			return {...candidate, load: slots!.running + slots!.waiting, serviceMs: slowMs + candidate.serviceMs};
		}));
	}
}

/** Adds penalties in milliseconds, which are the same for short and long statements. */
class FixedPenaltyPlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		const getCost = ({load, slots, serviceMs, catchUpMs, sameZone, isPrimary}: ReadCandidate) =>
			((load + 1) * serviceMs / slots) + catchUpMs + (sameZone ? 0 : 25) + (isPrimary ? 30 : 0);
		return candidates.filter(({catchUpMs}) => catchUpMs <= MAX_CATCH_UP_MS).toSorted((left, right) => getCost(left) - getCost(right))[0];
	}
}

/** The product's former placement, with penalties of 25 ms for another zone and 30 ms for the primary. */
export const FIXED_PENALTIES: PlacementPolicy = {name: 'weights in milliseconds', create: () => new FixedPenaltyPlacement()};

/** The placements that the product's is compared with. */
export const BASELINE_PLACEMENTS: readonly PlacementPolicy[] = [
	FIXED_PENALTIES,
	{name: 'primary only', create: () => new PrimaryPlacement()},
	{name: 'replicas by turns', create: () => new RoundRobinPlacement()},
	{name: 'own zone, else by turns', create: () => new OwnZonePlacement()},
	{name: 'true loads known', create: findServer => new OraclePlacement(findServer)},
];
