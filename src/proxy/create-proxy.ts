import {createGateway, type Gateway} from '../gateway/gateway.js';
import type {ProxyMetrics} from '../gateway/prom-gateway-metrics.js';
import {createKernel, type Kernel} from '../kernel/kernel.js';
import {createAcknowledgedCommits} from '../leadership/acknowledged-commits.js';
import {createCutOffs} from '../leadership/cut-offs.js';
import {createFailoverLease, type FailoverLease} from '../leadership/failover-lease.js';
import {createUnresponsiveHosts} from '../leadership/unresponsive-hosts.js';
import {createHostLivenessCheck, type HostLivenessCheck} from '../leadership/host-liveness.js';
import {createPrimaryLeases, PRIMARY_LEASE_MS, type PrimaryLeases} from '../leadership/primary-leases.js';
import {createLeadershipWatch, type LeadershipWatch} from '../leadership/leadership-watch.js';
import {createPrimaryWork} from '../leadership/primary-work.js';
import {LeadershipPhase, type HostRecord} from '../leadership/leadership-record.js';
import type {PromotionOrders} from '../leadership/promotion-orders.js';
import {createHostRegistration, type HostRegistration} from '../leadership/register-host.js';
import {replacePrimary} from '../leadership/replace-primary.js';
import {createStoreRestores} from '../leadership/store-restores.js';
import {createEndpointRooms, type EndpointRooms} from '../endpoint-room/endpoint-rooms.js';
import {createEndpointDirectory, type EndpointDirectory} from '../links/endpoint-directory.js';
import type {LinkOpener} from '../links/endpoint-link.js';
import {createLoadReports, type LoadReports} from '../endpoint-load/load-reports.js';
import {EndpointZoneLayout} from '../connection-sharing/endpoint-zone-layout.js';
import {createEarlierVersions} from '../connection-sharing/earlier-versions.js';
import {createHostWatch} from '../connection-sharing/host-watch.js';
import {MonitorLayout} from '../connection-sharing/monitor-layout.js';
import {ExpectedUsePolicy} from '../links/expected-use-policy.js';
import {createPoolHosts, type PoolHosts} from '../connection-sharing/pool-hosts.js';
import {createCheckoutServer, type CheckoutServer} from '../connection-sharing/checkout-server.js';
import {createSampleFetcher} from '../connection-sharing/sample-fetcher.js';
import {createSharedPool} from '../connection-sharing/shared-pool.js';
import {createWaitIds} from '../connection-sharing/wait-ids.js';
import {SpreadLayout} from '../connection-sharing/spread-layout.js';
import type {Log} from '../log/log.js';
import {createUnreachableHosts} from '../membership/unreachable-hosts.js';
import {guardGenerations} from '../mirror/guard-generations.js';
import type {MetadataStore} from '../mirror/metadata-store.js';
import {createStoreMirror, type StoreMirror} from '../mirror/store-mirror.js';
import type {LivePeers} from '../peers/create-peers.js';
import {createRegionalCutOffs} from '../regions/regional-cut-offs.js';
import {createRegions, type Regions} from '../regions/regions.js';
import {createPlacementKnowledge} from '../placement/placement-knowledge.js';
import {getHigherFloor, clampToTermStart} from '../placement/position-samples.js';
import {CostBasedPlacement, type ReadPlacement} from '../placement/read-placement.js';
import type {Random} from '../random/random.js';
import {getMaxTransactionIdleMs} from '../routes/routing.js';
import {createServiceTime} from '../scheduling/service-time.js';
import {UrgencyOrder} from '../scheduling/urgency-order.js';
import type {Clock} from '../time/clock.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {createCallerAccess} from '../workspaces/caller-access.js';
import {createRateLimiter, type RateLimiter} from '../workspaces/rate-limiter.js';
import {createTokenIssuer} from '../workspaces/token-issuer.js';
import {createTokenSource} from '../workspaces/token-source.js';
import {createPlacementFeature} from './placement-feature.js';
import type {ProxyFeatures} from './proxy-features.js';

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		storeMirror: StoreMirror;
		primaryLeases: PrimaryLeases;
		failoverLease: FailoverLease;
		leadershipWatch: LeadershipWatch;
		hostLiveness: HostLivenessCheck;
		hostRegistration: HostRegistration;
		endpointDirectory: EndpointDirectory;
		poolHosts: PoolHosts;
		loadReports: LoadReports;
		/** Registered with scheduling only. */
		endpointRooms: EndpointRooms;
		rateLimiter: RateLimiter;
		checkoutServer: CheckoutServer;
		proxyMetrics: ProxyMetrics;
		gateway: Gateway;
		elapsedClock: ElapsedClock;
	}
}

/** The outside dependencies of a proxy, and its identity. */
export type ProxyParts = {
	readonly clock: Clock;
	readonly elapsedClock: ElapsedClock;
	readonly random: Random;
	readonly log: Log;
	readonly metrics: ProxyMetrics;
	readonly store: MetadataStore;
	/** Calls `listener` with the bytes of each call to the store; absent where they are not known. */
	observeStoreBytes?(listener: (bytes: number) => void): void;
	readonly orders: PromotionOrders;
	readonly opener: LinkOpener;
	readonly peers: LivePeers;
	readonly hostName: string;
	readonly availabilityZone: string;
	/** `ip:port` at which other proxies reach this one. */
	readonly peerAddress: string;
	readonly seeds: readonly string[];
	/** Identifies this run of the process. */
	readonly incarnation: string;
	/** Time after which no host may accept a revoked key, in milliseconds; undefined where there is no bound. */
	readonly revokeWithinMs?: number;
	/** Time from the announcement of an endpoint that it is leaving until it gets no new work, in milliseconds; undefined where there is no bound. */
	readonly maxLeavingMs?: number;
	/** Time for which work may begin under a configuration that the store has not confirmed again, in milliseconds; unlimited where it is undefined. */
	readonly maxRoutingAgeMs?: number;
	/** Features that this deployment asks for; none by default. */
	readonly features?: ProxyFeatures;
	/** Chooses where reads run; by load, lag and zone where it is undefined. */
	readonly placement?: ReadPlacement;
};

/** Expected time of a transaction from its begin to its end until one was measured, in milliseconds: a few statements with their round trips. */
const INITIAL_OPERATION_MS = 50;

/** Creates the parts of a proxy and registers them with a kernel. Nothing runs before the kernel is started. */
export function createProxy(parts: ProxyParts): Kernel {
	const {clock, elapsedClock, random, log, metrics, orders, hostName, peerAddress, incarnation} = parts;
	const kernel = createKernel();
	const scheduling = parts.features?.scheduling;
	const zoneRegions = parts.features?.zoneRegions;
	const regions: Regions | undefined = zoneRegions && createRegions({
		zoneRegions,
		availabilityZone: parts.availabilityZone,
		peers: parts.peers,
		store: parts.store,
		opener: parts.opener,
		elapsedClock,
		log,
		getHosts: () => mirror.state.hosts,
		getEndpoints: () => mirror.state.endpoints,
		countBytes: metrics.countRegionBytes,
	});
	if (regions) {
		parts.observeStoreBytes?.(regions.noteStoreBytes);
	}

	const {peers, opener} = regions ?? parts;
	const store = guardGenerations(regions?.store ?? parts.store);
	const host: HostRecord = {
		name: hostName, peerAddress, availabilityZone: parts.availabilityZone, capacity: scheduling?.capacity,
	};
	const mirror: StoreMirror = createStoreMirror({
		store,
		peers,
		clock,
		elapsedClock,
		log,
		host,
		layout: regions?.layout,
		seeds: parts.seeds,
		getChanging: () => leadershipWatch.getChanging(),
		getUnfenced: now => primaryLeases.getUnfenced(now),
		noteUnfenced(group, epoch, askedAt) {
			primaryLeases.noteUnfenced(group, epoch, askedAt);
		},
	});
	const primaryLeases: PrimaryLeases = createPrimaryLeases({mirror, ownPeerAddress: peerAddress, isKnownToAll: at => registration.isKnownToAll(at)});
	const knowledge = createPlacementKnowledge();
	const primaryWork = createPrimaryWork(clock);
	const ownCutOffs = createCutOffs();
	const cutOffs = regions
		? createRegionalCutOffs(ownCutOffs, {
			isPrimaryLost(group) {
				const record = mirror.state.leadership.get(group);
				// While the primary is being replaced, a successor that this host reaches may be ready soon.
				const zone = record?.phase === LeadershipPhase.Steady ? regions.getEndpointZone(record.primaryId) : undefined;
				return zone !== undefined && regions.links.isLost(zone, elapsedClock.elapsed());
			},
			isIsolated(group) {
				const now = elapsedClock.elapsed();
				const isUnconfirmed = mirror.partsConfirmedAt !== undefined && now - mirror.partsConfirmedAt > PRIMARY_LEASE_MS;
				return isUnconfirmed && regions.links.isAnyLost(now) && primaryLeases.get(group, now) === undefined;
			},
		})
		: ownCutOffs;
	const loadReports = createLoadReports();
	const layout = scheduling ? new EndpointZoneLayout({poolHosts: scheduling.poolHosts, zoneRegions}) : new SpreadLayout();
	const poolHosts = createPoolHosts({
		mirror, hostName, availabilityZone: parts.availabilityZone, layout,
	});
	const monitors = scheduling
		? createPoolHosts({
			mirror, hostName, availabilityZone: parts.availabilityZone, layout: new MonitorLayout(new EndpointZoneLayout({poolHosts: scheduling.poolHosts, zoneRegions})),
		})
		: poolHosts;
	const placementFeature = scheduling && createPlacementFeature({
		availabilityZone: parts.availabilityZone,
		opener,
		elapsedClock,
		poolHosts,
		metrics,
		log,
		random,
		reports: loadReports,
		roundTrips: regions && {getMs: zone => regions.roundTrips.getMs(zone, elapsedClock.elapsed())},
	});
	const unreachable = createUnreachableHosts();
	const hostWatch = scheduling && createHostWatch({peers, clock});
	const waitIds = createWaitIds(peers);
	const earlierVersions = createEarlierVersions({clock, log, metrics});
	const endpointRooms = scheduling && createEndpointRooms({
		poolHosts,
		peers,
		clock,
		log,
		ownPeerAddress: peerAddress,
		roomFactor: scheduling.roomFactor,
		getEndpoint: endpointId => directory.get(endpointId),
		isFailed: address => unreachable.has(address, clock.now()) || hostWatch?.isSilent(address) === true,
		onTakeover: metrics.countRoomTakeover,
	});
	const directory: EndpointDirectory = createEndpointDirectory({
		mirror,
		opener: placementFeature?.opener ?? opener,
		clock,
		log,
		maxLeavingMs: parts.maxLeavingMs,
		sessionMetrics: metrics,
		createOrder: scheduling && (() => new UrgencyOrder(scheduling.leastShare, metrics)),
		getSharing: entry => ({hosts: poolHosts.countHosts(entry), isPoolHost: poolHosts.isPoolHost(entry)}),
		createWindow: endpointRooms?.createWindow,
		sharePool: (entry, ownPool) => createSharedPool({
			entry, ownPool, poolHosts, unreachable, peers, clock, ownPeerAddress: peerAddress, earlierVersions, scheduling: hostWatch && {
				loads: loadReports, hostWatch, waitIds, random,
			},
		}),
		createConnectionPolicy: parts.features?.scheduling && (({id, group}) => new ExpectedUsePolicy({
			metrics: metrics.getConnectionMetrics(id),
			onSummary(summary) {
				log.info('endpoints: connections were opened', {endpoint: id, group, ...summary});
			},
		})),
		getMinPosition({id, group}) {
			const record = mirror.state.leadership.get(group);
			const isPrimary = record?.phase === LeadershipPhase.Steady && record.primaryId === id;
			const seen = knowledge.getSamples(group).getNewest()?.position;
			return isPrimary ? getHigherFloor(record.start, seen && clampToTermStart(seen, record)) : undefined;
		},
	});
	const checkoutServer = createCheckoutServer({
		peers,
		directory,
		primaryLeases,
		knowledge,
		clock,
		elapsedClock,
		random,
		log,
		hostWatch,
		earlierVersions,
		getMaxIdleMs: () => getMaxTransactionIdleMs(mirror.state.routing),
	});
	const sampleFetcher = createSampleFetcher({
		peers, poolHosts, knowledge, clock, elapsedClock, unreachable, prefer: regions?.preferNear,
	});
	const issuer = createTokenIssuer({getLimit: workspace => mirror.state.routing?.workspaces.get(workspace)?.limit});
	const tokenSource = createTokenSource({
		peers, unreachable, clock, ownPeerAddress: peerAddress, issuer, getHosts: () => mirror.state.hosts,
	});
	const rateLimiter = createRateLimiter({source: tokenSource, clock, countHosts: () => mirror.state.hosts.length});
	const access = createCallerAccess({
		getRoutingState: () => ({routing: mirror.state.routing, routingConfirmedAt: mirror.routingConfirmedAt}),
		revokeWithinMs: parts.revokeWithinMs,
	});
	const failoverLease = createFailoverLease({
		store, mirror, elapsedClock, log, hostName, incarnation,
	});
	const unresponsiveHosts = createUnresponsiveHosts({
		store, mirror, elapsedClock, log,
	});
	const storeRestores = createStoreRestores({mirror, elapsedClock});
	const registration: HostRegistration = createHostRegistration({
		store, mirror, log, clock, elapsedClock, random, host, measureStoreRtt: regions?.measureStoreRtt,
	});
	const acknowledgedCommits = createAcknowledgedCommits(() => elapsedClock.elapsed());
	const reportCommits = (group: string) => acknowledgedCommits.report(group, knowledge.getSamples(group).getNewest());
	const leadershipWatch: LeadershipWatch = createLeadershipWatch({
		store,
		mirror,
		directory,
		poolHosts: monitors,
		primaryLeases,
		primaryWork,
		cutOffs,
		failoverLease,
		peers,
		clock,
		elapsedClock,
		random,
		log,
		hostName,
		ownPeerAddress: peerAddress,
		mayReplace: () => registration.isKnownToAll(elapsedClock.elapsed()),
		reportCommits,
		replace: async replacement => replacePrimary({
			store,
			mirror,
			directory,
			primaryLeases,
			primaryWork,
			failoverLease,
			unresponsiveHosts,
			storeRestores,
			orders,
			peers,
			clock,
			elapsedClock,
			log,
			hostName,
			ownPeerAddress: peerAddress,
			availabilityZone: parts.availabilityZone,
			getSuccessorDistance: regions?.getSuccessorDistance,
			reportCommits,
			onAwaited: metrics.setAwaitedEndpoints,
			onReplaced(_group, times) {
				for (const [part, ms] of Object.entries(times)) {
					metrics.observeReplacement(part, ms / 1000);
				}
			},
		}, replacement),
	});
	const gateway = createGateway({
		clock,
		elapsedClock,
		log: log.withPrefix('callers: '),
		metrics,
		mirror,
		primaryLeases,
		directory,
		knowledge,
		primaryWork,
		acknowledgedCommits,
		cutOffs,
		sampleFetcher,
		access,
		rateLimiter,
		availabilityZone: parts.availabilityZone,
		maxRoutingAgeMs: parts.maxRoutingAgeMs,
		random,
		placement: parts.placement ?? placementFeature?.placement ?? new CostBasedPlacement(),
		estimates: placementFeature?.estimates,
		crossings: regions && {getShare: zone => regions.links.getCrossingShare(zone, elapsedClock.elapsed())},
		features: parts.features ?? {},
		operationTimes: createServiceTime(INITIAL_OPERATION_MS),
	});

	mirror.onChange(() => {
		directory.update(clock.now());
		for (const record of mirror.state.leadership.values()) {
			knowledge.getSamples(record.group).applyTermStart(record);
		}

		const endpointIds = new Set(mirror.state.endpoints.map(({id}) => id));
		knowledge.keepOnly(endpointIds);
		loadReports.keepOnly(endpointIds);
		placementFeature?.keepOnly(endpointIds);
		void registration.ensureRegistered();
	});

	kernel.register('clock', clock);
	kernel.register('elapsedClock', elapsedClock);
	kernel.register('random', random);
	kernel.register('log', log);
	kernel.register('proxyMetrics', metrics);
	kernel.register('peers', peers);
	kernel.register('endpointDirectory', directory);
	kernel.register('poolHosts', poolHosts);
	if (endpointRooms) {
		kernel.register('endpointRooms', endpointRooms);
	}

	kernel.register('loadReports', loadReports);
	kernel.register('checkoutServer', checkoutServer);
	kernel.register('rateLimiter', rateLimiter);
	kernel.register('primaryLeases', primaryLeases);
	kernel.register('failoverLease', failoverLease);
	kernel.register('hostRegistration', registration);
	kernel.register('leadershipWatch', leadershipWatch);
	kernel.register('hostLiveness', createHostLivenessCheck({
		mirror, peers, unresponsiveHosts, clock, log, ownPeerAddress: peerAddress,
	}));
	kernel.register('gateway', gateway);
	kernel.register('storeMirror', mirror);
	if (regions) {
		kernel.register('regions', regions);
	}

	return kernel;
}
