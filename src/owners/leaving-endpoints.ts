/** How long a leaving primary may still be given work while its successor is prepared, in milliseconds. */
export const LEAVING_GRACE_MS = 700;

/** Records since when an owner has known that an endpoint is leaving. */
export type LeavingEndpoints = {
	/**
	 * Records whether the endpoint is leaving and returns since when: -Infinity if it was never known to serve, undefined if
	 * it is not leaving.
	 * @param isLeaving Whether the order, the host list or the server's own status currently says so.
	 */
	note(endpoint: string, isLeaving: boolean, now: number): number | undefined;
	/** Returns whether a leaving primary may no longer be given work at `now`. */
	isGraceOver(endpoint: string, now: number): boolean;
};

/** Creates an empty record. */
export function createLeavingEndpoints(): LeavingEndpoints {
	const since = new Map<string, number>();
	const served = new Set<string>();

	return {
		note(endpoint, isLeaving, now) {
			if (!isLeaving) {
				since.delete(endpoint);
				served.add(endpoint);
				return undefined;
			}

			// Guards against a grace period that starts again at each new owner: an owner that has never seen the
			// endpoint serve cannot tell how long it has been leaving, and grants no grace.
			const known = since.get(endpoint) ?? (served.has(endpoint) ? now : -Infinity);
			since.set(endpoint, known);
			return known;
		},
		// Guards against a leaving primary that is given work for as long as no other can be promoted: its stop would
		// then abort writes. A switchover mostly takes less; after the grace period, writes wait for the next primary,
		// outside the gate, until their deadline.
		isGraceOver(endpoint, now) {
			const known = since.get(endpoint);
			return known !== undefined && now - known > LEAVING_GRACE_MS;
		},
	};
}
