import {createTokenBucket} from '../../workspaces/token-bucket.js';
import type {FleetLimit, FleetLimitOptions} from './fleet-limit.js';

/** Gives each host an equal share of the limit, which it grants on its own. */
export function createStaticShares({clock, hosts, limit}: FleetLimitOptions): FleetLimit {
	const getShare = ({ratePerSecond, burst}: typeof limit) => ({ratePerSecond: ratePerSecond / hosts, burst: burst / hosts});
	const buckets = Array.from({length: hosts}, () => createTokenBucket(getShare(limit), limit.burst / hosts, clock.now()));
	const dead = new Set<number>();

	return {
		messages: 0,
		dead,
		take: async host => buckets[host]!.take(1, clock.now()) === 1,
		setLimit(changed) {
			for (const bucket of buckets) {
				bucket.setLimit(getShare(changed), clock.now());
			}
		},
		killCoordinator() {
			dead.add(0);
		},
	};
}
