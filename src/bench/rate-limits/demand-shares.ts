import {createTokenBucket} from '../../workspaces/token-bucket.js';
import {ONE_WAY_MS, type FleetLimit, type FleetLimitOptions} from './fleet-limit.js';

/** Interval between two reports of a host's demand, in milliseconds: that of the confirmations of the store's copies. */
const REPORT_INTERVAL_MS = 700;

/** Time until a silent coordinator is replaced, in milliseconds. */
const REPLACEMENT_MS = 2000;

/** Gives each host a share of the limit in proportion to its demand, which one host computes from the reports of all. */
export function createDemandShares({clock, random, hosts, limit: firstLimit}: FleetLimitOptions): FleetLimit {
	let limit = firstLimit;
	let messages = 0;
	let coordinatedFrom = clock.now();
	const dead = new Set<number>();
	const reported = new Map<number, number>();
	const demands = Array.from({length: hosts}, () => 0);
	const buckets = Array.from({length: hosts}, () => createTokenBucket(limit, limit.burst / hosts, clock.now()));

	const getShare = (host: number) => {
		const demand = [...reported.values()].reduce((sum, count) => sum + count, 0);
		const fair = limit.ratePerSecond / hosts;
		const byDemand = demand === 0 ? fair : limit.ratePerSecond * (reported.get(host) ?? 0) / demand;
		return {ratePerSecond: Math.max(fair / 2, byDemand), burst: Math.max(1, limit.burst * byDemand / limit.ratePerSecond)};
	};

	const reportLoop = async (host: number) => {
		await clock.sleep(random.fraction() * REPORT_INTERVAL_MS);
		while (!dead.has(host)) {
			await clock.sleep(REPORT_INTERVAL_MS);
			if (clock.now() < coordinatedFrom) {
				continue;
			}

			messages += 2;
			await clock.sleep(ONE_WAY_MS);
			reported.set(host, demands[host]!);
			demands[host] = 0;
			const share = getShare(host);
			await clock.sleep(ONE_WAY_MS);
			buckets[host]!.setLimit(share, clock.now());
		}
	};

	for (let host = 0; host < hosts; host++) {
		void reportLoop(host);
	}

	return {
		get messages() {
			return messages;
		},
		dead,
		async take(host) {
			demands[host]!++;
			return buckets[host]!.take(1, clock.now()) === 1;
		},
		setLimit(changed) {
			limit = changed;
		},
		killCoordinator() {
			dead.add(0);
			coordinatedFrom = clock.now() + REPLACEMENT_MS;
		},
	};
}
