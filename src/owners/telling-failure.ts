/** Least time after which silence says something of a server, in milliseconds; a healthy one is seldom this slow. */
const TELLING_MS = 250;

/** The time that an exchange, or a wait for a connection, was given. */
export type GivenTime = {
	readonly startedAt: number;
	readonly until: number;
};

/**
 * Tells whether a failure says something of the server, rather than of its caller's short time.
 *
 * Guards against callers in a hurry: were each read that met no impossible deadline a sign of a silent server, others
 * would be sent from server to server, and away, though every server is well.
 */
export function isTellingFailure({startedAt, until}: GivenTime, now: number): boolean {
	return now < until || now - startedAt >= TELLING_MS;
}
