/** Bounds how many statements this host has in flight at an endpoint at once. */
export type CongestionWindow = {
	/** At least 1; Infinity while the window is unbounded. */
	readonly size: number;
	/** Notes that the endpoint ran a statement. */
	noteServed(): void;
	/** Notes that the endpoint rejected a statement at the steady time `now`, while `inFlight` statements of this host were in flight. */
	noteRejected(inFlight: number, now: number): void;
};

/** Factor by which the window shrinks after a rejected statement. */
const DECREASE_FACTOR = 0.5;

/** Minimum time between two decreases, in milliseconds: statements that are rejected together are one sign of congestion. */
const MIN_DECREASE_INTERVAL_MS = 100;

/** A window that has grown to this size is unbounded again. */
const UNBOUNDED_SIZE = 64;

/**
 * Creates a window that is unbounded until the endpoint rejects a statement; it is then halved, and grows by one for each full window that is served.
 *
 * It helps an endpoint whose queue is full because several hosts send more than it can run. A rejected statement is sent again soon after, on a connection that may have to be reopened, and
 * each opening takes a slot from statements. Statements that wait on this host can be ordered, and connections stay open.
 */
export function createCongestionWindow(): CongestionWindow {
	let size = Number.POSITIVE_INFINITY;
	let decreasedAt = Number.NEGATIVE_INFINITY;

	return {
		get size() {
			return size;
		},
		noteServed() {
			size += 1 / size;
			if (size >= UNBOUNDED_SIZE) {
				size = Number.POSITIVE_INFINITY;
			}
		},
		noteRejected(inFlight, now) {
			if (now - decreasedAt >= MIN_DECREASE_INTERVAL_MS) {
				decreasedAt = now;
				size = Math.max(1, Math.min(size, inFlight) * DECREASE_FACTOR);
			}
		},
	};
}
