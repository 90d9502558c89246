import {Counter, type Registry} from 'prom-client';
import type {ConnectionMetrics} from './connection-metrics.js';

/** Creates the metrics of connections in a registry; the function that it returns gives those of one endpoint. Openings per statement are the openings divided by the requests. */
export function createPromConnectionMetrics(registry: Registry): (endpoint: string) => ConnectionMetrics {
	const registers = [registry];
	const requests = new Counter({
		name: 'aldercroft_connection_requests_total', help: 'Requests for a connection to an endpoint at this host', labelNames: ['endpoint'], registers,
	});
	const openings = new Counter({
		name: 'aldercroft_connection_openings_total', help: 'Connections to endpoints that were opened, by cause', labelNames: ['endpoint', 'cause'], registers,
	});
	const evictions = new Counter({
		name: 'aldercroft_connection_evictions_total', help: 'Idle connections that were closed, by cause', labelNames: ['endpoint', 'cause'], registers,
	});
	const rejections = new Counter({
		name: 'aldercroft_connection_rejections_total', help: 'Connections that an endpoint rejected because of its limit or its queue', labelNames: ['endpoint'], registers,
	});

	return endpoint => ({
		countRequest() {
			requests.inc({endpoint});
		},
		countOpening(cause) {
			openings.inc({endpoint, cause});
		},
		countEviction(cause) {
			evictions.inc({endpoint, cause});
		},
		countRejection() {
			rejections.inc({endpoint});
		},
	});
}
