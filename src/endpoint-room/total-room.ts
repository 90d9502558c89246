/** Minimum of the budget beyond the slots: an endpoint with few slots would be idle while the next statement is on its way. */
const MIN_EXCESS = 2;

/** Returns the concurrency budget of an endpoint: the number of statements that all its pool hosts together may have in flight there. */
export function getTotalRoom(slots: number, roomFactor: number): number {
	return Math.max(slots + MIN_EXCESS, Math.round(slots * roomFactor));
}
