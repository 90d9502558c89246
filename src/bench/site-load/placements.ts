import {MAX_CATCH_UP_MS, type ReadCandidate} from '../../placement/choose-endpoint.js';
import {CostBasedPlacement, type ReadPlacement} from '../../placement/read-placement.js';
import type {PlainServer} from '../../stand-ins/plain-group/plain-server.js';

/** A way to place reads, created for each host. */
export type PlacementWay = {
	readonly name: string;
	create(findServer: (id: string) => PlainServer): ReadPlacement;
};

/** The product. */
export const WEIGHED: PlacementWay = {name: 'load, lag and zone weighed', create: () => new CostBasedPlacement()};

/** Every read at the primary: what a proxy does that knows nothing of replicas. */
class PrimaryPlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		return candidates.find(({isPrimary}) => isPrimary);
	}
}

/** One replica after the other, whatever is known of them. */
class TurnPlacement implements ReadPlacement {
	private turn = 0;

	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		const replicas = candidates.filter(({isPrimary}) => !isPrimary);
		const from = replicas.length > 0 ? replicas : candidates;
		this.turn++;
		return from[this.turn % from.length];
	}
}

/** The replica in the host's own zone where there is one, else one after the other. */
class ZonePlacement extends TurnPlacement {
	override choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		const near = candidates.filter(({sameZone, isPrimary}) => sameZone && !isPrimary);
		return super.choose(near.length > 0 ? near : candidates);
	}
}

/** The product's weights with what only the stand-in knows: the true load and time of each server, of all hosts together. */
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

/** Weights in milliseconds, the same for short statements and long ones. */
class MillisecondPlacement implements ReadPlacement {
	choose(candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
		const getCost = ({load, slots, serviceMs, catchUpMs, sameZone, isPrimary}: ReadCandidate) =>
			((load + 1) * serviceMs / slots) + catchUpMs + (sameZone ? 0 : 25) + (isPrimary ? 30 : 0);
		return candidates.filter(({catchUpMs}) => catchUpMs <= MAX_CATCH_UP_MS).toSorted((left, right) => getCost(left) - getCost(right))[0];
	}
}

/** The version before the product's, of 25 ms for another zone and 30 for the primary. */
export const BY_MILLISECONDS: PlacementWay = {name: 'weights in milliseconds', create: () => new MillisecondPlacement()};

/** What the product is compared with. */
export const OTHER_PLACEMENTS: readonly PlacementWay[] = [
	BY_MILLISECONDS,
	{name: 'primary only', create: () => new PrimaryPlacement()},
	{name: 'replicas by turns', create: () => new TurnPlacement()},
	{name: 'own zone, else by turns', create: () => new ZonePlacement()},
	{name: 'true loads known', create: findServer => new OraclePlacement(findServer)},
];
