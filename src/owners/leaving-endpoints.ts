/** How long a leaving primary may still be given work while another is made ready, in milliseconds. */
export const LEAVING_GRACE_MS = 700;

/** Remembers since when an owner has known that an endpoint is leaving. */
export type LeavingEndpoints = {
	/**
	 * Notes whether the endpoint is leaving, and tells since when; -Infinity where it was never known otherwise.
	 * @param isLeaving What order, host list and the server's own word say now.
	 */
	note(endpoint: string, isLeaving: boolean, now: number): number | undefined;
	/** Tells whether a leaving primary may no longer be given work, at the moment `now`. */
	isGraceOver(endpoint: string, now: number): boolean;
};

/** Creates an empty memory. */
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

			// Guards against a grace that begins anew at each new owner: one that has never known the endpoint
			// otherwise cannot tell how long it has been leaving, and gives it nothing.
			const known = since.get(endpoint) ?? (served.has(endpoint) ? now : -Infinity);
			since.set(endpoint, known);
			return known;
		},
		// Guards against a leaving primary that is given work for as long as no other can be promoted: its stop would
		// then cut filings. A switchover mostly takes less; beyond it writes wait for the next primary, outside the gate, until their deadline.
		isGraceOver(endpoint, now) {
			const known = since.get(endpoint);
			return known !== undefined && now - known > LEAVING_GRACE_MS;
		},
	};
}
