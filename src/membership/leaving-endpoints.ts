/** Records since when a host has known that an endpoint is leaving. */
export type LeavingEndpoints = {
	/**
	 * Records whether the endpoint is leaving and returns since when: -Infinity if it was never known to serve, undefined if
	 * it is not leaving.
	 * @param isLeaving Whether the order, the host list or the server's own status currently says so.
	 * @param since The time from which it counts as leaving if it was not known to leave before.
	 */
	note(endpoint: string, isLeaving: boolean, since: number): number | undefined;
	/** Returns whether a leaving primary may no longer be given work at `now`. */
	isGraceOver(endpoint: string, now: number): boolean;
	/** Forgets an endpoint that has left. */
	forget(endpoint: string): void;
};

/** Creates an empty record; a leaving primary may be given work for `graceMs` milliseconds. */
export function createLeavingEndpoints(graceMs: number): LeavingEndpoints {
	const leavingSince = new Map<string, number>();
	const served = new Set<string>();

	return {
		note(endpoint, isLeaving, since) {
			if (!isLeaving) {
				leavingSince.delete(endpoint);
				served.add(endpoint);
				return undefined;
			}

			// Guards against a grace period that starts again at each new host: a host that has never seen the
			// endpoint serve cannot tell how long it has been leaving, and grants no grace.
			const known = leavingSince.get(endpoint) ?? (served.has(endpoint) ? since : -Infinity);
			leavingSince.set(endpoint, known);
			return known;
		},
		// Guards against a leaving primary that is given work for as long as no other can be promoted: its stop would
		// then abort writes. A switchover mostly takes less; after the grace period, writes wait for the next primary
		// until their deadline.
		isGraceOver(endpoint, now) {
			const known = leavingSince.get(endpoint);
			return known !== undefined && now - known > graceMs;
		},
		forget(endpoint) {
			leavingSince.delete(endpoint);
			served.delete(endpoint);
		},
	};
}
