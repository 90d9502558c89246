import type {EndpointConfig, GroupConfig} from '../groups/group-config.js';

/** Connections of a server that no owner uses; kept for a new owner that starts before an old one has stopped. */
const RESERVED_CONNECTIONS = 2;

/** Connections to an endpoint that an owner keeps outside its pool: one for confirmations, one for status and control. */
export const CONTROL_CONNECTIONS = 2;

/** Returns how many pooled connections one owner may have open to an endpoint; at least 1. */
export function getPoolLimit(cfg: GroupConfig, endpoint: EndpointConfig): number {
	const share = Math.floor((endpoint.connections - RESERVED_CONNECTIONS) / cfg.owners);
	return Math.max(1, share - CONTROL_CONNECTIONS);
}
