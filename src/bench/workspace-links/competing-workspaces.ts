import type {ConnectionMetrics} from '../../links/connection-metrics.js';
import type {PoolHostsScenario} from './simulate-pool-hosts.js';

/** Metrics that count nothing. */
export const SILENT_CONNECTION_METRICS: ConnectionMetrics = {
	countRequest: () => undefined, countOpening: () => undefined, countEviction: () => undefined, countRejection: () => undefined,
};

/** The callers of 83 workspaces that compete for an endpoint with three pool hosts in its zone, one of which loses power after 20 s. */
export const COMPETING_WORKSPACES = {
	poolHostsPerZone: 3,
	zones: 1,
	byWorkspace: true,
	workspaces: 83,
	skew: 1.2,
	endpoint: {slots: 4, queue: 32, maxConnections: 56},
	room: 6,
	runMs: 40_000,
	lossAtMs: 20_000,
	routes: [
		{
			share: 0.134, meanWorkMs: 6, transactionShare: 0.4, timeoutMs: 800, priority: 0,
		},
		{
			share: 0.631, meanWorkMs: 18, transactionShare: 0.12, timeoutMs: 800, priority: 1,
		},
		{
			share: 0.235, meanWorkMs: 30, transactionShare: 0.1, timeoutMs: 2000, priority: 2,
		},
	],
} as const satisfies Partial<PoolHostsScenario>;
