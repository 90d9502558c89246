/** Minimum silence that counts as a failure of the server, in milliseconds; a healthy server is seldom this slow. */
const MIN_SILENCE_MS = 250;

/** When an exchange or a wait for a connection started, and until when it could last. */
export type TimeWindow = {
	readonly startedAt: number;
	readonly until: number;
};

/**
 * Returns whether a failure counts against the server, rather than being due to the caller's short deadline.
 *
 * Guards against callers with very short deadlines: if every read that missed an impossible deadline counted as a sign of
 * a silent server, other reads would be sent from server to server and refused, although every server is healthy.
 */
export function isServerFailure({startedAt, until}: TimeWindow, now: number): boolean {
	return now < until || now - startedAt >= MIN_SILENCE_MS;
}
