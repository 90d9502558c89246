import {holdsLogPosition} from '../../terms/log-position.js';
import {getPrimaryCandidate, getReplicaCandidates, type ReplicaCandidate} from '../../owners/read-candidates.js';
import type {
	PlacementGroup, ReadChoice, ReadNeed, ReadPlacement,
} from '../../owners/read-placement.js';

/** Chooses the replicas whose last known status satisfied the floor and the maximum age, least busy first, then the primary. */
export class LastSeenPlacement implements ReadPlacement {
	choose(group: PlacementGroup, need: ReadNeed): readonly ReadChoice[] {
		const replicas = getReplicaCandidates(group, need)
			.filter(replica => meetsNeed(group, replica, need))
			.sort((left, right) => left.queueMs - right.queueMs);
		const primary = getPrimaryCandidate(group, need);
		return [...replicas, ...(primary ? [primary] : [])].map(({endpoint}) => ({endpoint, waitMs: 0}));
	}
}

function meetsNeed(group: PlacementGroup, {endpoint, known}: ReplicaCandidate, need: ReadNeed): boolean {
	return holdsLogPosition(known.status.log, need.floor) && group.knowledge.getAgeMs(endpoint.name, need.now) <= need.maxAgeMs;
}
