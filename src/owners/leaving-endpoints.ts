/** How long a leaving primary may still be given work while another is made ready, in milliseconds. */
export const LEAVING_GRACE_MS = 2000;

/** Remembers since when an owner has known that an endpoint is leaving. */
export type LeavingEndpoints = {
	/**
	 * Notes whether the endpoint is leaving, and tells since when.
	 * @param isLeaving What order, host list and the server's own word say now.
	 */
	note(endpoint: string, isLeaving: boolean, now: number): number | undefined;
	/** Tells whether a leaving primary may no longer be given work, at the moment `now`. */
	isGraceOver(endpoint: string, now: number): boolean;
};

/** Creates an empty memory. */
export function createLeavingEndpoints(): LeavingEndpoints {
	const since = new Map<string, number>();

	return {
		note(endpoint, isLeaving, now) {
			if (!isLeaving) {
				since.delete(endpoint);
				return undefined;
			}

			const known = since.get(endpoint) ?? now;
			since.set(endpoint, known);
			return known;
		},
		// Guards against a leaving primary that is given work for as long as no other can be promoted: its stop would
		// then cut filings. A few seconds suffice for a switchover; after that a truthful refusal is the better answer.
		isGraceOver(endpoint, now) {
			const known = since.get(endpoint);
			return known !== undefined && now - known > LEAVING_GRACE_MS;
		},
	};
}
