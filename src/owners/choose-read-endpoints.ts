import {EndpointRole} from '../endpoints/endpoint.js';
import type {EndpointConfig, WorkClass} from '../groups/group-config.js';
import {holdsLogPosition, type LogPosition} from '../terms/log-position.js';
import type {GroupParts} from './group-parts.js';

/** What a read needs of an endpoint. */
export type ReadNeed = {
	readonly floor: LogPosition;
	readonly maxAgeMs: number;
	readonly class: WorkClass;
	readonly now: number;
};

type Candidate = {
	readonly endpoint: EndpointConfig;
	readonly replica: boolean;
	readonly waitMs: number;
};

/**
 * Orders the endpoints that may serve a read: the replicas that are known to hold the floor and the age, least busy
 * first, then the primary. A wrong guess costs an exchange, never a stale answer: the server checks the floor.
 */
export function chooseReadEndpoints(group: GroupParts, need: ReadNeed): readonly EndpointConfig[] {
	return getCandidates(group, need)
		.sort((left, right) => Number(right.replica) - Number(left.replica) || left.waitMs - right.waitMs)
		.map(({endpoint}) => endpoint);
}

function getCandidates(group: GroupParts, need: ReadNeed): Candidate[] {
	const primary = group.knowledge.getPrimary();
	const candidates: Candidate[] = [];
	for (const endpoint of group.getGroup().cfg.endpoints) {
		const parts = group.getParts(endpoint.name);
		const isPrimary = endpoint.name === primary?.name;
		if (!parts || !group.mayTakeWork(endpoint, need.now) || (!isPrimary && !isFitReplica(group, endpoint.name, need))) {
			continue;
		}

		candidates.push({
			endpoint, replica: !isPrimary, waitMs: parts.admission.getPredictedWaitMs(need.class, need.now),
		});
	}

	return candidates;
}

function isFitReplica(group: GroupParts, endpoint: string, need: ReadNeed): boolean {
	const known = group.knowledge.get(endpoint);
	return known?.status?.role === EndpointRole.Replica
		&& known.failures === 0
		&& holdsLogPosition(known.status.log, need.floor)
		&& group.knowledge.getAgeMs(endpoint, need.now) <= need.maxAgeMs;
}
