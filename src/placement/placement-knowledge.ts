import {createEndpointStats, type EndpointStats} from './endpoint-stats.js';
import {createPositionSamples, type PositionSamples} from './position-samples.js';

/** Samples and statistics that this host keeps of groups and endpoints, from their responses. */
export type PlacementKnowledge = {
	getSamples(group: string): PositionSamples;
	getStats(endpointId: string): EndpointStats;
	/** Drops the statistics of all other endpoints. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/** Creates a collection without samples. */
export function createPlacementKnowledge(): PlacementKnowledge {
	const samples = new Map<string, PositionSamples>();
	const stats = new Map<string, EndpointStats>();

	return {
		getSamples: group => getOrCreate(samples, group, createPositionSamples),
		getStats: endpointId => getOrCreate(stats, endpointId, createEndpointStats),
		keepOnly(endpointIds) {
			for (const endpointId of stats.keys()) {
				if (!endpointIds.has(endpointId)) {
					stats.delete(endpointId);
				}
			}
		},
	};
}

function getOrCreate<T>(map: Map<string, T>, key: string, create: () => T): T {
	const known = map.get(key);
	if (known) {
		return known;
	}

	const created = create();
	map.set(key, created);
	return created;
}
