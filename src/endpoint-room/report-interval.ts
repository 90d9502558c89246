/** Interval at which a pool host reports its demand at an endpoint, in milliseconds: short against a burst, and long against the round trip. */
export const REPORT_INTERVAL_MS = 100;

/**
 * Minimum time between two reports of a host for different endpoints on average, in milliseconds. On a fleet of 900 hosts a host is pool host of 11 endpoints; reports of all of them every
 * 100 ms would take several times the bytes that control may take.
 */
const MIN_SPACING_MS = 80;

/** Returns the time between two reports on one endpoint, in milliseconds, of a host that reports on `endpoints` endpoints. */
export function getReportIntervalMs(endpoints: number): number {
	return Math.max(REPORT_INTERVAL_MS, endpoints * MIN_SPACING_MS);
}
