import type {HostRecord} from '../leadership/leadership-record.js';
import type {RegisteredEndpoint} from '../routes/routing.js';

/** The fields of an endpoint by which its pool hosts are selected. */
export type EndpointKey = Pick<RegisteredEndpoint, 'id' | 'group'> & Partial<Pick<RegisteredEndpoint, 'availabilityZone'>>;

/** Selects the pool hosts of an endpoint that accepts `connections` connections; every host computes the same set from the same list. */
export type PoolHostSelector = (endpoint: EndpointKey, connections: number) => readonly HostRecord[];

/** Decides which hosts keep connections to an endpoint. */
export interface PoolHostLayout {
	/** Returns whether only some of `liveHosts` hosts keep connections to an endpoint that accepts `connections`; otherwise all of them do. */
	isShared(liveHosts: number, connections: number): boolean;
	/** Prepares the selection out of the live hosts; called after each change of the hosts. `ownZone` is the zone of this host. */
	prepare(live: readonly HostRecord[], ownZone: string): PoolHostSelector;
}

/**
 * Minimum share of an endpoint's connections with which each host keeps its own: a host with one connection is blocked by a single transaction, and with less than one each, hosts cause each
 * other's connections to be rejected.
 */
const MIN_SHARE = 2;

/** Returns whether the connections are too few for every one of the hosts to keep some of its own. */
export function areTooFew(connections: number, hosts: number): boolean {
	return hosts * MIN_SHARE > Math.max(connections, MIN_SHARE);
}
