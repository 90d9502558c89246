import type {EndpointLoad} from '../links/endpoint-load.js';

/** A load that a pool host sent along with a response. */
export type ReceivedLoad = {
	readonly load: EndpointLoad;
	/** Steady time at which it was received. */
	readonly receivedAt: number;
};

/** The last load of each endpoint at each of its pool hosts, as received with their responses. */
export type PoolHostLoads = {
	note(endpointId: string, poolHost: string, load: EndpointLoad, now: number): void;
	/** Returns the last load from the pool host at `ip:port`; undefined where none was received. */
	get(endpointId: string, poolHost: string): ReceivedLoad | undefined;
	/** Removes the loads of all other endpoints. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/** Creates an empty record. */
export function createPoolHostLoads(): PoolHostLoads {
	const endpoints = new Map<string, Map<string, ReceivedLoad>>();

	return {
		note(endpointId, poolHost, load, now) {
			let loads = endpoints.get(endpointId);
			if (!loads) {
				loads = new Map();
				endpoints.set(endpointId, loads);
			}

			loads.set(poolHost, {load, receivedAt: now});
		},
		get: (endpointId, poolHost) => endpoints.get(endpointId)?.get(poolHost),
		keepOnly(endpointIds) {
			for (const endpointId of endpoints.keys()) {
				if (!endpointIds.has(endpointId)) {
					endpoints.delete(endpointId);
				}
			}
		},
	};
}
