import type {EndpointLoad} from '../links/endpoint-load.js';

/** The load of an endpoint that one pool host attached to a response. */
export type LoadReport = {
	/** `ip:port` of the pool host. */
	readonly poolHost: string;
	readonly load: EndpointLoad;
	/** Steady time at which the response was received, in milliseconds. */
	readonly receivedAt: number;
};

/** The last load report of each pool host, by endpoint. */
export type LoadReports = {
	/** Returns the last report of each pool host of the endpoint; reports may be of any age. */
	list(endpointId: string): readonly LoadReport[];
};

/** Load reports that are recorded as responses are received. */
export type RecordedLoadReports = LoadReports & {
	/** Records a report, in place of an older one of the same pool host. */
	note(endpointId: string, report: LoadReport): void;
	/** Drops the reports on all other endpoints. */
	keepOnly(endpointIds: ReadonlySet<string>): void;
};

/**
 * Maximum number of pool hosts per endpoint whose reports are kept. An endpoint has 3 pool hosts, and up to 12 in the earlier layout; beyond that the oldest
 * report is dropped, so that replaced hosts do not accumulate.
 */
const MAX_POOL_HOSTS = 12;

/** Creates a collection without reports. */
export function createLoadReports(): RecordedLoadReports {
	const reports = new Map<string, LoadReport[]>();

	return {
		list: endpointId => reports.get(endpointId) ?? [],
		note(endpointId, report) {
			const others = (reports.get(endpointId) ?? []).filter(({poolHost}) => poolHost !== report.poolHost);
			reports.set(endpointId, [...others, report].slice(-MAX_POOL_HOSTS));
		},
		keepOnly(endpointIds) {
			for (const endpointId of reports.keys()) {
				if (!endpointIds.has(endpointId)) {
					reports.delete(endpointId);
				}
			}
		},
	};
}
