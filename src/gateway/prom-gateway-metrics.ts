import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {ConnectionMetrics} from '../links/connection-metrics.js';
import {createPromConnectionMetrics} from '../links/prom-connection-metrics.js';
import type {VersionMetrics} from '../connection-sharing/earlier-versions.js';
import {createPromVersionMetrics} from '../connection-sharing/prom-version-metrics.js';
import type {LinkMetrics} from '../links/link-metrics.js';
import {createPromLinkMetrics} from '../links/prom-link-metrics.js';
import {createPromSessionMetrics} from '../links/prom-session-metrics.js';
import type {SessionMetrics} from '../links/session-metrics.js';
import type {RoomState} from '../endpoint-room/endpoint-rooms.js';
import type {SchedulingMetrics} from '../scheduling/scheduling-metrics.js';
import type {PlacementMetrics} from '../placement/placement-metrics.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import {createPromSchedulingMetrics} from './prom-scheduling-metrics.js';

/** The gateway's metrics, those of the rest of the proxy, and their rendering as text. */
export type ProxyMetrics = GatewayMetrics & PlacementMetrics & SchedulingMetrics & SessionMetrics & LinkMetrics & VersionMetrics & {
	/** Counts a call to the platform that ended. */
	countPlatformCall(call: string, result: string): void;
	/** Counts an entry of the store that was skipped. */
	countUnusableEntry(kind: string): void;
	/** Counts bytes that were sent to another region. */
	countRegionBytes(purpose: string, bytes: number): void;
	/** Sets the store generation of the platform's last answer. */
	setStoreGeneration(generation: number): void;
	/** Sets the endpoints whose response a change of a group's primary waits for; with none once it waits for none. */
	setAwaitedEndpoints(group: string, endpointIds: readonly string[]): void;
	/** Observes the duration of one part of replacing a group's primary. */
	observeReplacement(part: string, seconds: number): void;
	/** Sets the gauges whose values are read at each scrape. */
	setState(state: ProxyState): void;
	/** Sets the state of the connections to the endpoints that are there; those of all other endpoints are removed. */
	setPools(pools: readonly PoolState[]): void;
	/** Sets the state of the concurrency budgets of which this host has a share; those of all other endpoints are removed. */
	setRooms(rooms: readonly RoomState[]): void;
	/** Counts that the allocator of a budget did not respond, so that the next pool host was asked. */
	countRoomTakeover(): void;
	/** Returns the metrics of this host's connections to an endpoint. They are registered with the first call, so that a proxy that does not use them does not show them. */
	getConnectionMetrics(endpoint: string): ConnectionMetrics;
	render(): Promise<string>;
	readonly contentType: string;
};

/** The state of a host's connections to one endpoint. */
export type PoolState = {
	readonly endpoint: string;
	readonly open: number;
	readonly inUse: number;
	/** Number of requests that wait for a connection. */
	readonly waiting: number;
};

/** The state of a proxy that its gauges show. */
export type ProxyState = {
	readonly confirmationAgeSeconds: number;
	readonly routingVersion: number;
	readonly hosts: number;
	/** Number of groups whose recorded primary is leaving. */
	readonly leavingPrimaries: number;
	/** Number of those that get no new work any more. */
	readonly unusablePrimaries: number;
};

/** Upper bounds of the buckets for the times of a statement, in seconds. */
const STATEMENT_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6];

/** Upper bounds of the buckets for the parts of a replacement, in seconds. */
const REPLACEMENT_BUCKETS = [0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 9];

/** Creates the metrics of a proxy in a registry of their own. */
export function createPromGatewayMetrics(): ProxyMetrics {
	const registry = new Registry();
	const registers = [registry];
	const statements = new Counter({
		name: 'aldercroft_statements_total', help: 'Answered statements of callers', labelNames: ['kind', 'outcome'], registers,
	});
	const statementSeconds = new Histogram({
		name: 'aldercroft_statement_seconds', help: 'Time from a statement to its answer', labelNames: ['kind'], buckets: STATEMENT_BUCKETS, registers,
	});
	const linkWaitSeconds = new Histogram({
		name: 'aldercroft_link_wait_seconds', help: 'Time for which statements waited for a connection to an endpoint', buckets: STATEMENT_BUCKETS, registers,
	});
	const reads = new Counter({
		name: 'aldercroft_endpoint_reads_total', help: 'Reads served, by the role of the endpoint', labelNames: ['role'], registers,
	});
	const retries = new Counter({
		name: 'aldercroft_endpoint_retries_total', help: 'Statements tried again, by the reason', labelNames: ['reason'], registers,
	});
	const commitRechecks = new Counter({
		name: 'aldercroft_second_judgements_total', help: 'Commits judged by newer evidence than they began under', labelNames: ['outcome'], registers,
	});
	const sessions = new Gauge({name: 'aldercroft_sessions', help: 'Open sessions of callers', registers});
	const platformCalls = new Counter({
		name: 'aldercroft_store_calls_total', help: 'Calls to the platform, by result', labelNames: ['call', 'result'], registers,
	});
	const unusableEntries = new Counter({
		name: 'aldercroft_unusable_entries_total', help: 'Entries of the store that were skipped, once for each of their changes, by kind', labelNames: ['kind'], registers,
	});
	const regionBytes = new Counter({
		name: 'aldercroft_region_bytes_total', help: 'Bytes between regions that this host sent, and answers of endpoints that it received, by purpose', labelNames: ['purpose'], registers,
	});
	const storeGeneration = new Gauge({name: 'aldercroft_store_generation', help: 'Times that the store has come back from a copy, as it says', registers});
	const replacementSeconds = new Histogram({
		name: 'aldercroft_replacement_seconds', help: 'Parts of replacing a primary', labelNames: ['part'], buckets: REPLACEMENT_BUCKETS, registers,
	});
	const awaitedEndpoints = new Gauge({
		name: 'aldercroft_awaited_endpoints', help: 'Endpoints without whose response no primary can be promoted, by group', labelNames: ['group', 'endpoint'], registers,
	});
	const confirmationAge = new Gauge({name: 'aldercroft_evidence_age_seconds', help: 'Time since the store last confirmed that the configuration is the latest', registers});
	const routingVersion = new Gauge({name: 'aldercroft_routing_version', help: 'Version of the configuration in force', registers});
	const hosts = new Gauge({name: 'aldercroft_hosts', help: 'Proxies that are registered', registers});
	const leavingPrimaries = new Gauge({
		name: 'aldercroft_leaving_primaries', help: 'Groups whose recorded primary is leaving, by whether it still gets new work', labelNames: ['work'], registers,
	});
	const poolLinks = new Gauge({
		name: 'aldercroft_endpoint_links', help: 'Connections to endpoints, and requests that wait for one', labelNames: ['endpoint', 'state'], registers,
	});
	const roomPlaces = new Gauge({
		name: 'aldercroft_endpoint_room',
		help: 'Statements that may be in flight at an endpoint: over all hosts, of this host, and whether that was granted to it',
		labelNames: ['endpoint', 'kind'],
		registers,
	});
	const roomAllocators = new Gauge({
		name: 'aldercroft_endpoint_room_allocator', help: 'Whether this host allocates the concurrency budget of the endpoint', labelNames: ['endpoint'], registers,
	});
	const roomTakeovers = new Counter({
		name: 'aldercroft_endpoint_room_takeovers_total', help: 'Allocators of concurrency budgets that did not respond, so that the next pool host was asked', registers,
	});
	const ejections = new Counter({
		name: 'aldercroft_ejections_total', help: 'Endpoints ejected from reads, by the reason', labelNames: ['reason'], registers,
	});
	const catchUpError = new Histogram({
		name: 'aldercroft_catch_up_error_seconds', help: 'Time between the predicted and the observed moment at which a replica reached a floor', buckets: STATEMENT_BUCKETS, registers,
	});
	const loadAge = new Histogram({
		name: 'aldercroft_load_view_age_seconds', help: 'Age of the newest load report of an endpoint when a read was sent to it', buckets: STATEMENT_BUCKETS, registers,
	});

	/** Ids of the endpoints that are awaited, by group. */
	const awaited = new Map<string, readonly string[]>();
	let getConnectionMetrics: ReturnType<typeof createPromConnectionMetrics> | undefined;

	return {
		...createPromSchedulingMetrics(registry),
		...createPromSessionMetrics(registry),
		...createPromLinkMetrics(registry),
		...createPromVersionMetrics(registry),
		countEjection(reason) {
			ejections.inc({reason});
		},
		observeCatchUpError(seconds) {
			catchUpError.observe(seconds);
		},
		observeLoadAge(seconds) {
			loadAge.observe(seconds);
		},
		observeStatement(kind, outcome, seconds) {
			statements.inc({kind, outcome});
			statementSeconds.observe({kind}, seconds);
		},
		observeLinkWait(seconds) {
			linkWaitSeconds.observe(seconds);
		},
		countRead(role) {
			reads.inc({role});
		},
		countRetry(reason) {
			retries.inc({reason});
		},
		countCommitRecheck(outcome) {
			commitRechecks.inc({outcome});
		},
		setSessions(open) {
			sessions.set(open);
		},
		countPlatformCall(call, result) {
			platformCalls.inc({call, result});
		},
		countUnusableEntry(kind) {
			unusableEntries.inc({kind});
		},
		countRegionBytes(purpose, bytes) {
			regionBytes.inc({purpose}, bytes);
		},
		setStoreGeneration(generation) {
			storeGeneration.set(generation);
		},
		observeReplacement(part, seconds) {
			replacementSeconds.observe({part}, seconds);
		},
		setAwaitedEndpoints(group, endpointIds) {
			for (const endpoint of awaited.get(group) ?? []) {
				awaitedEndpoints.remove({group, endpoint});
			}

			awaited.set(group, endpointIds);
			for (const endpoint of endpointIds) {
				awaitedEndpoints.set({group, endpoint}, 1);
			}
		},
		setState(state) {
			confirmationAge.set(state.confirmationAgeSeconds);
			routingVersion.set(state.routingVersion);
			hosts.set(state.hosts);
			leavingPrimaries.set({work: 'taken'}, state.leavingPrimaries - state.unusablePrimaries);
			leavingPrimaries.set({work: 'refused'}, state.unusablePrimaries);
		},
		setPools(pools) {
			poolLinks.reset();
			for (const {endpoint, open, inUse, waiting} of pools) {
				poolLinks.set({endpoint, state: 'open'}, open);
				poolLinks.set({endpoint, state: 'lent'}, inUse);
				poolLinks.set({endpoint, state: 'waiting'}, waiting);
			}
		},
		setRooms(rooms) {
			roomPlaces.reset();
			roomAllocators.reset();
			for (const {endpointId: endpoint, total, limit, isGranted, isAllocator} of rooms) {
				roomPlaces.set({endpoint, kind: 'total'}, total);
				roomPlaces.set({endpoint, kind: 'limit'}, limit);
				roomPlaces.set({endpoint, kind: 'granted'}, isGranted ? 1 : 0);
				roomAllocators.set({endpoint}, isAllocator ? 1 : 0);
			}
		},
		countRoomTakeover() {
			roomTakeovers.inc();
		},
		getConnectionMetrics(endpoint) {
			getConnectionMetrics ??= createPromConnectionMetrics(registry);
			return getConnectionMetrics(endpoint);
		},
		render: async () => registry.metrics(),
		contentType: registry.contentType,
	};
}
