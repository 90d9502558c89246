import type {HostRecord} from '../leadership/leadership-record.js';
import {createHostRanking} from '../membership/host-ranking.js';
import type {EndpointKey, PoolHostLayout, PoolHostSelector} from './pool-host-layout.js';

/**
 * The hosts that watch a primary and decide together whether it is lost: its pool hosts, and one more than that outside its zone, spread over the other zones.
 *
 * Guards against a zone that fails, or is cut off, with a primary and all its pool hosts: no host that watches it would be left, and it would be replaced only once the list of hosts has
 * changed. The hosts outside are a majority by themselves. They keep no connections, and observe the primary through its pool hosts.
 */
export class MonitorLayout implements PoolHostLayout {
	readonly #poolHosts: PoolHostLayout;

	constructor(poolHosts: PoolHostLayout) {
		this.#poolHosts = poolHosts;
	}

	isShared(liveHosts: number, connections: number): boolean {
		return this.#poolHosts.isShared(liveHosts, connections);
	}

	prepare(live: readonly HostRecord[], ownZone: string): PoolHostSelector {
		const select = this.#poolHosts.prepare(live, ownZone);
		const ranking = createHostRanking(live);
		return (endpoint: EndpointKey, connections) => {
			const poolHosts = select(endpoint, connections);
			const known = new Set(poolHosts.map(({name}) => name));
			const isOutside = ({name, availabilityZone}: HostRecord) => availabilityZone !== endpoint.availabilityZone && !known.has(name);
			return [...poolHosts, ...ranking.getOwners(endpoint.id, poolHosts.length + 1, {isUsable: isOutside, nearZones: []})];
		};
	}
}
