import {EndpointRole, type EndpointStatus} from '../endpoints/endpoint.js';
import type {EndpointConfig} from '../groups/group-config.js';
import type {EndpointKnowledge} from '../groups/group-knowledge.js';
import type {PlacementGroup, ReadNeed} from './read-placement.js';

/** An endpoint that may be given a read, with its predicted queue time. */
export type ReadCandidate = {
	readonly endpoint: EndpointConfig;
	/** Predicted wait for a slot, in milliseconds. */
	readonly queueMs: number;
};

/** A replica that responded to the last request to it. */
export type ReplicaCandidate = ReadCandidate & {
	readonly known: EndpointKnowledge & {readonly status: EndpointStatus};
};

/** Returns the primary if it may be given work, undefined otherwise. */
export function getPrimaryCandidate(group: PlacementGroup, need: ReadNeed): ReadCandidate | undefined {
	const primary = group.knowledge.getPrimary();
	return primary && toCandidate(group, primary, need);
}

/** Returns the replicas that may be given work and have not failed since they last responded. */
export function getReplicaCandidates(group: PlacementGroup, need: ReadNeed): readonly ReplicaCandidate[] {
	const primary = group.knowledge.getPrimary();
	const candidates: ReplicaCandidate[] = [];
	for (const endpoint of group.getGroup().cfg.endpoints) {
		const known = group.knowledge.get(endpoint.name);
		const status = known?.status;
		if (endpoint.name === primary?.name || status?.role !== EndpointRole.Replica || known!.failures > 0) {
			continue;
		}

		const candidate = toCandidate(group, endpoint, need);
		if (candidate) {
			candidates.push({...candidate, known: {...known!, status}});
		}
	}

	return candidates;
}

function toCandidate(group: PlacementGroup, endpoint: EndpointConfig, need: ReadNeed): ReadCandidate | undefined {
	const parts = group.getParts(endpoint.name);
	if (!parts || !group.mayTakeWork(endpoint, need.now)) {
		return undefined;
	}

	return {endpoint, queueMs: parts.admission.getPredictedWaitMs(need.class, need.now)};
}
