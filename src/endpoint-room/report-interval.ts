/** Interval at which a pool host reports its demand at an endpoint, in milliseconds: short against a burst, and long against the round trip. */
export const REPORT_INTERVAL_MS = 100;

/** Number of endpoints on which a host reports at that interval. */
const ENDPOINTS_AT_FULL_RATE = 2;

/**
 * Time by which each further endpoint extends the interval, in milliseconds. A report and its response take about 130 bytes, and control may take 2 KB/s of a host. On a fleet of 900 hosts
 * before 3,300 endpoints a host reports on 7 of them on average: every 100 ms, that would be 9 KB/s; so it is 0.7 KB/s.
 */
const FURTHER_ENDPOINT_MS = 250;

/** Returns the time between two reports on one endpoint, in milliseconds, of a host that reports on `endpoints` endpoints. */
export function getReportIntervalMs(endpoints: number): number {
	return Math.max(REPORT_INTERVAL_MS, (endpoints - ENDPOINTS_AT_FULL_RATE) * FURTHER_ENDPOINT_MS);
}
