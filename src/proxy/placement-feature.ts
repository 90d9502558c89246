import type {PoolHosts} from '../connection-sharing/pool-hosts.js';
import {createLoadReports, type LoadReports} from '../endpoint-load/load-reports.js';
import {createLoadView} from '../endpoint-load/load-view.js';
import {createServiceTimes} from '../endpoint-load/service-times.js';
import type {LinkOpener} from '../links/endpoint-link.js';
import type {Log} from '../log/log.js';
import {CompletionTimePlacement} from '../placement/completion-time-placement.js';
import {gateReplicas} from '../placement/gate-replicas.js';
import type {PlacementMetrics} from '../placement/placement-metrics.js';
import {createReadEstimates, type ReadEstimates} from '../placement/read-estimates.js';
import type {ReadPlacement} from '../placement/read-placement.js';
import {AssumedRoundTrips, type RoundTrips} from '../placement/round-trips.js';
import type {Random} from '../random/random.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';

/** Placement of reads by time to response, as part of the scheduling feature. */
export type PlacementFeature = {
	readonly placement: ReadPlacement;
	readonly estimates: ReadEstimates;
	/** Opens links for the pools of this host. */
	readonly opener: LinkOpener;
	/** Drops what is known of all other endpoints. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/** What the placement needs. */
export type PlacementFeatureOptions = {
	readonly availabilityZone: string;
	readonly opener: LinkOpener;
	readonly elapsedClock: ElapsedClock;
	readonly poolHosts: PoolHosts;
	readonly metrics: PlacementMetrics;
	readonly log: Log;
	readonly random: Random;
	/** Load reports that pool hosts attached to their responses; none by default. */
	readonly reports?: LoadReports;
	/** Measured round-trip times; assumed ones by default. */
	readonly roundTrips?: RoundTrips;
};

/** Creates the placement without observations. */
export function createPlacementFeature({availabilityZone, opener, elapsedClock, poolHosts, metrics, log, random, reports, roundTrips}: PlacementFeatureOptions): PlacementFeature {
	const gatedOpener = gateReplicas(opener, elapsedClock);
	const estimates = createReadEstimates({
		availabilityZone,
		loads: createLoadView(reports ?? createLoadReports()),
		serviceTimes: createServiceTimes(),
		roundTrips: roundTrips ?? new AssumedRoundTrips(availabilityZone),
		metrics,
		log,
		getOwnLoad: ({entry, ownPool}, now) => poolHosts.isPoolHost(entry) ? ownPool.getLoad(now) : undefined,
	});

	return {
		placement: new CompletionTimePlacement(random),
		estimates,
		opener: gatedOpener,
		keepOnly(endpointIds) {
			gatedOpener.keepOnly(endpointIds);
			estimates.keepOnly(endpointIds);
		},
	};
}
