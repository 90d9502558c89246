import {createEndpointFigures, type EndpointFigures} from './endpoint-figures.js';
import {createPositionSamples, type PositionSamples} from './position-samples.js';

/** What this host learned of groups and endpoints from their answers. */
export type PlacementKnowledge = {
	getSamples(group: string): PositionSamples;
	getFigures(endpointId: string): EndpointFigures;
	/** Forgets endpoints that are not among those. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/** Creates empty knowledge. */
export function createPlacementKnowledge(): PlacementKnowledge {
	const samples = new Map<string, PositionSamples>();
	const figures = new Map<string, EndpointFigures>();

	return {
		getSamples: group => getOrCreate(samples, group, createPositionSamples),
		getFigures: endpointId => getOrCreate(figures, endpointId, createEndpointFigures),
		keepOnly(endpointIds) {
			for (const endpointId of figures.keys()) {
				if (!endpointIds.has(endpointId)) {
					figures.delete(endpointId);
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
