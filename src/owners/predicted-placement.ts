import {Durability, getMajority} from '../groups/group-config.js';
import type {Random} from '../random/random.js';
import {compareLogPositions, holdsLogPosition} from '../terms/log-position.js';
import {getPrimaryCandidate, getReplicaCandidates, type ReplicaCandidate} from './read-candidates.js';
import type {
	PlacementGroup, ReadChoice, ReadNeed, ReadPlacement,
} from './read-placement.js';

/** How long a replica is assumed to keep the lag that it last reported, in milliseconds; replicas are polled each second. */
const LAG_VALIDITY_MS = 1000;

/** Maximum time for which a read is held back until a replica is predicted to hold its floor, in milliseconds. */
const MAX_WAIT_MS = 10;

type RankedChoice = ReadChoice & {
	/** Predicted time until the read runs, in milliseconds. */
	readonly startMs: number;
	/** Random number that orders choices with equal start times. */
	readonly tieBreaker: number;
};

/**
 * Predicts what a replica will hold when the read reaches it, from the position that it reported and its lag at that time.
 *
 * A replica that was last seen some time ago has advanced with the primary since: its data is as old as it was then, not
 * older by the time that has passed. A session's floor was acknowledged, so a majority holds it: as many of the most
 * advanced replicas as complete a majority with the primary are tried at once, even if they did not report the floor yet.
 */
export class PredictedPlacement implements ReadPlacement {
	constructor(private readonly random: Random) {}

	choose(group: PlacementGroup, need: ReadNeed): readonly ReadChoice[] {
		const replicas = getReplicaCandidates(group, need);
		const presumed = getPresumedHolders(group, replicas, need);
		const choices = replicas
			.filter(replica => getPredictedAgeMs(group, replica, need) <= need.maxAgeMs)
			.map(replica => this.#rank(replica, presumed.has(replica) ? 0 : getFloorWaitMs(group, replica, need)))
			.filter(({waitMs}) => waitMs <= MAX_WAIT_MS)
			.sort((left, right) => left.startMs - right.startMs || left.tieBreaker - right.tieBreaker);
		const primary = getPrimaryCandidate(group, need);
		return [...choices, ...(primary ? [{endpoint: primary.endpoint, waitMs: 0}] : [])];
	}

	#rank({endpoint, queueMs}: ReplicaCandidate, waitMs: number): RankedChoice {
		// Without a random order, several owners that see the same replicas idle would all choose the first of them.
		return {
			endpoint, waitMs, startMs: Math.max(waitMs, queueMs), tieBreaker: this.random.fraction(),
		};
	}
}

function getPredictedAgeMs({knowledge}: PlacementGroup, {endpoint, known}: ReplicaCandidate, {now}: ReadNeed): number {
	const isRecent = now - known.seenAt <= LAG_VALIDITY_MS;
	return isRecent ? knowledge.getLogAgeMs(known.status.log, known.seenAt) : knowledge.getAgeMs(endpoint.name, now);
}

function getPresumedHolders(group: PlacementGroup, replicas: readonly ReplicaCandidate[], need: ReadNeed): ReadonlySet<ReplicaCandidate> {
	const {cfg} = group.getGroup();
	if (need.barrierAt !== undefined || cfg.durability !== Durability.Majority) {
		return new Set();
	}

	const byAdvance = replicas.toSorted((left, right) => compareLogPositions(right.known.status.log, left.known.status.log));
	return new Set(byAdvance.slice(0, getMajority(cfg) - 1));
}

/** Returns how long until the replica is predicted to hold the floor, in milliseconds; Infinity if that is not known. */
function getFloorWaitMs({knowledge}: PlacementGroup, {known}: ReplicaCandidate, {floor, now}: ReadNeed): number {
	const {log} = known.status;
	if (holdsLogPosition(log, floor)) {
		return 0;
	}

	const logReachedAt = knowledge.getReachedAt(log);
	const floorAt = knowledge.getReachedAt(floor);
	if (logReachedAt === undefined || floorAt === undefined || now - known.seenAt > LAG_VALIDITY_MS) {
		return Infinity;
	}

	const lagMs = Math.max(0, known.seenAt - logReachedAt);
	return Math.max(0, floorAt + lagMs - now);
}
