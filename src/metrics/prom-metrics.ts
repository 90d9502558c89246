import {
	collectDefaultMetrics, Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import type {Metrics} from './metrics.js';

/** Upper bounds of the histogram buckets for times within one request, in seconds. */
const REQUEST_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60];

/** Upper bounds of the histogram buckets for failovers, in seconds. */
const FAILOVER_BUCKETS = [0.25, 0.5, 1, 1.5, 2, 3, 4, 5, 6, 7, 8, 9, 12, 20, 60];

/** Options of the metrics. */
export type PromMetricsOptions = {
	/** Whether to add metrics of the process itself (CPU, memory, event loop). Tests leave them off, since they keep timers running. */
	readonly processMetrics?: boolean;
};

/** Creates metrics with their own registry, so that several daemons can run in one process. */
export function createPromMetrics({processMetrics = false}: PromMetricsOptions = {}): Metrics {
	const registry = new Registry();
	const registers = [registry];
	if (processMetrics) {
		collectDefaultMetrics({register: registry});
	}

	const requests = new Counter({
		name: 'aldercroft_requests_total', help: 'Answered requests of callers', labelNames: ['kind', 'class', 'outcome'], registers,
	});
	const requestSeconds = new Histogram({
		name: 'aldercroft_request_seconds', help: 'Time from a request to its answer', labelNames: ['kind', 'class'], buckets: REQUEST_BUCKETS, registers,
	});
	const refusals = new Counter({
		name: 'aldercroft_refusals_total', help: 'Refusals told to callers', labelNames: ['code'], registers,
	});
	const queueWaitSeconds = new Histogram({
		name: 'aldercroft_queue_wait_seconds', help: 'Time that admitted requests waited for a slot', labelNames: ['class'], buckets: REQUEST_BUCKETS, registers,
	});
	const reads = new Counter({
		name: 'aldercroft_reads_total', help: 'Reads served, by the role of the endpoint', labelNames: ['role'], registers,
	});
	const retries = new Counter({
		name: 'aldercroft_retries_total', help: 'Requests tried again by the entry, by the refusal before', labelNames: ['code'], registers,
	});
	const droppedFrames = new Counter({
		name: 'aldercroft_peer_frames_dropped_total', help: 'Answers of peers that nothing awaited', registers,
	});
	const platformCalls = new Counter({
		name: 'aldercroft_platform_calls_total', help: 'Calls to the platform', labelNames: ['call', 'result'], registers,
	});
	const poolConnections = new Gauge({
		name: 'aldercroft_pool_connections', help: 'Connections held to endpoints', labelNames: ['endpoint', 'state'], registers,
	});
	const configRevision = new Gauge({
		name: 'aldercroft_config_revision', help: 'Store revision of the configuration in force', registers,
	});
	const failoverSeconds = new Histogram({
		name: 'aldercroft_failover_seconds', help: 'Time from suspicion of a primary to a confirmed position of the next', labelNames: ['group'], buckets: FAILOVER_BUCKETS, registers,
	});

	return {
		observeRequest(measurement) {
			const workClass = measurement.class ?? 'none';
			requests.inc({kind: measurement.kind, class: workClass, outcome: measurement.outcome});
			requestSeconds.observe({kind: measurement.kind, class: workClass}, measurement.seconds);
		},
		countRefusal(code) {
			refusals.inc({code});
		},
		observeQueueWait(workClass, seconds) {
			queueWaitSeconds.observe({class: workClass}, seconds);
		},
		countRead(role) {
			reads.inc({role});
		},
		countRetry(code) {
			retries.inc({code});
		},
		countDroppedFrame() {
			droppedFrames.inc();
		},
		countPlatformCall(call, result) {
			platformCalls.inc({call, result});
		},
		setPoolConnections(endpoint, idle, busy) {
			poolConnections.set({endpoint, state: 'idle'}, idle);
			poolConnections.set({endpoint, state: 'busy'}, busy);
		},
		setConfigRevision(revision) {
			configRevision.set(revision);
		},
		observeFailover(group, seconds) {
			failoverSeconds.observe({group}, seconds);
		},
		render: async () => registry.metrics(),
		contentType: registry.contentType,
	};
}
