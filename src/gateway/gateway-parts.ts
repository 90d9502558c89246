import type {EndpointDirectory} from '../links/endpoint-directory.js';
import type {AcknowledgedCommits} from '../leadership/acknowledged-commits.js';
import type {CutOffs} from '../leadership/cut-offs.js';
import type {PrimaryLeases} from '../leadership/primary-leases.js';
import type {PrimaryWork} from '../leadership/primary-work.js';
import type {SampleFetcher} from '../connection-sharing/sample-fetcher.js';
import type {Log} from '../log/log.js';
import type {StoreMirror} from '../mirror/store-mirror.js';
import type {PlacementKnowledge} from '../placement/placement-knowledge.js';
import type {ReadEstimates} from '../placement/read-estimates.js';
import type {ReadPlacement} from '../placement/read-placement.js';
import type {ProxyFeatures} from '../proxy/proxy-features.js';
import type {ServiceTime} from '../scheduling/service-time.js';
import type {RegionCrossings} from '../placement/round-trips.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import type {CallerAccess} from '../workspaces/caller-access.js';
import type {RateLimiter} from '../workspaces/rate-limiter.js';
import type {GatewayMetrics} from './gateway-metrics.js';

/** Parts of the proxy that serving callers depends on. */
export type GatewayParts = {
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	readonly metrics: GatewayMetrics;
	readonly mirror: StoreMirror;
	readonly primaryLeases: PrimaryLeases;
	readonly directory: EndpointDirectory;
	readonly knowledge: PlacementKnowledge;
	readonly primaryWork: PrimaryWork;
	readonly acknowledgedCommits: AcknowledgedCommits;
	readonly cutOffs: CutOffs;
	readonly sampleFetcher: SampleFetcher;
	readonly access: CallerAccess;
	readonly rateLimiter: RateLimiter;
	readonly availabilityZone: string;
	/** Time for which work may begin under a configuration that the store has not confirmed again, in milliseconds; unlimited where it is undefined. */
	readonly maxRoutingAgeMs?: number;
	readonly placement: ReadPlacement;
	/** Features that the deployment asks for. */
	readonly features: ProxyFeatures;
	/** Smoothed times of transactions from their begin to their end, by route. */
	readonly operationTimes: ServiceTime<string>;
	readonly random: Random;
	/** Estimates of the time to the response of endpoints; undefined where reads are placed by this host's own load. */
	readonly estimates?: ReadEstimates;
	/** Bounds the reads that cross between regions; undefined where nothing does. */
	readonly crossings?: RegionCrossings;
};
