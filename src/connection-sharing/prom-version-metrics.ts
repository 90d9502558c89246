import {Counter, type Registry} from 'prom-client';
import type {VersionMetrics} from './earlier-versions.js';

/** Creates the metrics of requests between hosts of two versions in a registry. */
export function createPromVersionMetrics(registry: Registry): VersionMetrics {
	const requests = new Counter({
		name: 'aldercroft_earlier_version_requests_total',
		help: 'Requests that hosts of an earlier version sent (received) or do not know (refused)',
		labelNames: ['sign'],
		registers: [registry],
	});

	return {
		countEarlierVersion(sign) {
			requests.inc({sign});
		},
	};
}
