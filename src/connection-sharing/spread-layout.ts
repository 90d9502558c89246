import type {HostRecord} from '../leadership/leadership-record.js';
import {createHostRanking} from '../membership/host-ranking.js';
import {
	areTooFew, type EndpointKey, type PoolHostLayout, type PoolHostSelector,
} from './pool-host-layout.js';

/** Connections to an endpoint that each pool host has as its share: enough for some statements beside a few open transactions. */
const POOL_HOST_SHARE = 4;

/** Spreads the pool hosts of each endpoint over all zones, those of this host's zone first, so that each host has some nearby. */
export class SpreadLayout implements PoolHostLayout {
	isShared(liveHosts: number, connections: number): boolean {
		return areTooFew(connections, liveHosts);
	}

	prepare(live: readonly HostRecord[], ownZone: string): PoolHostSelector {
		const names = new Set([ownZone, ...live.map(({availabilityZone}) => availabilityZone).toSorted()]);
		const rankings = [...names].map(zone => createHostRanking(live.filter(({availabilityZone}) => availabilityZone === zone)));
		return ({id}: EndpointKey, connections) => {
			const perZone = Math.max(1, Math.floor(connections / POOL_HOST_SHARE / rankings.length));
			return rankings.flatMap(ranking => ranking.getOwners(id, perZone, {isUsable: () => true, nearZones: []}));
		};
	}
}
