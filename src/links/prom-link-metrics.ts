import {Counter, type Registry} from 'prom-client';
import type {LinkMetrics} from './link-metrics.js';

/** Creates the metrics of what goes over connections to endpoints in a registry. */
export function createPromLinkMetrics(registry: Registry): LinkMetrics {
	const registers = [registry];
	const faults = new Counter({
		name: 'aldercroft_link_faults_total', help: 'Connections that were cut because of what their endpoint sent, by the fault', labelNames: ['fault'], registers,
	});
	const unsent = new Counter({
		name: 'aldercroft_oversized_requests_total', help: 'Requests that were not sent to an endpoint, since they were over the size limit', registers,
	});

	return {
		countLinkFault(fault) {
			faults.inc({fault});
		},
		countUnsent() {
			unsent.inc();
		},
	};
}
