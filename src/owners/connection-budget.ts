import type {EndpointConfig, GroupConfig} from '../groups/group-config.js';

/** Connections of a server that no owner uses, for a new owner that starts before an old one has ended. */
const RESERVED_CONNECTIONS = 2;

/** Connections an owner keeps for itself: one to confirm, one for status and control. */
export const CONTROL_CONNECTIONS = 2;

/** How many pooled connections one owner may have open to an endpoint. */
export function getPoolLimit(cfg: GroupConfig, endpoint: EndpointConfig): number {
	const share = Math.floor((endpoint.connections - RESERVED_CONNECTIONS) / cfg.owners);
	return Math.max(1, share - CONTROL_CONNECTIONS);
}
