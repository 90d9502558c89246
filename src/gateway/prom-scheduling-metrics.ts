import {
	Counter, Gauge, Histogram, type Registry,
} from 'prom-client';
import type {SchedulingMetrics} from '../scheduling/scheduling-metrics.js';

/** Upper bounds of the buckets for waits, in seconds. */
const WAIT_BUCKETS = [0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3];

/** Upper bounds of the buckets for errors of predicted waits, in seconds; an error is negative where the wait was shorter than predicted. */
const ERROR_BUCKETS = [-0.4, -0.2, -0.1, -0.05, -0.02, -0.005, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4];

/** Creates the metrics of the scheduled queues in a registry. */
export function createPromSchedulingMetrics(registry: Registry): SchedulingMetrics {
	const registers = [registry];
	const labelNames = ['level'];
	const queued = new Gauge({
		name: 'aldercroft_queued_requests', help: 'Requests that wait for an endpoint, by priority level', labelNames, registers,
	});
	const waits = new Histogram({
		name: 'aldercroft_queue_wait_seconds', help: 'Time for which requests waited for an endpoint, by priority level', labelNames, buckets: WAIT_BUCKETS, registers,
	});
	const predictedWaits = new Histogram({
		name: 'aldercroft_predicted_wait_seconds', help: 'Wait for an endpoint that was predicted on arrival, by priority level', labelNames, buckets: WAIT_BUCKETS, registers,
	});
	const errors = new Histogram({
		name: 'aldercroft_wait_prediction_error_seconds', help: 'Wait for an endpoint less the predicted wait, by priority level', labelNames, buckets: ERROR_BUCKETS, registers,
	});
	const refusals = new Counter({
		name: 'aldercroft_queue_refusals_total', help: 'Requests that the queue of an endpoint refused, by priority level and cause', labelNames: ['level', 'cause'], registers,
	});

	return {
		observeScheduledWait(level, predictedSeconds, waitedSeconds) {
			waits.observe({level}, waitedSeconds);
			predictedWaits.observe({level}, predictedSeconds);
			errors.observe({level}, waitedSeconds - predictedSeconds);
		},
		countQueueRefusal(level, cause) {
			refusals.inc({level, cause});
		},
		addQueued(level, change) {
			queued.inc({level}, change);
		},
	};
}
