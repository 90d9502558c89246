/** How many statements a host has under way at an endpoint at once. */
export type CongestionWindow = {
	/** From 1; Infinity while the endpoint has turned nothing away. */
	readonly size: number;
	/** The endpoint ran a statement. */
	noteServed(): void;
	/** The endpoint turned one away at the steady time `now`, with so many of this host's under way. */
	noteTurnedAway(underWay: number, now: number): void;
};

/** Part of what was under way that is left after a statement was turned away. */
const DECREASE = 0.5;

/** The window shrinks once in so long, in milliseconds: all that is turned away at once says the same. */
const SHRINK_EVERY_MS = 100;

/** A window that has grown to this size bounds nothing any more. */
const UNBOUNDED_FROM = 64;

/**
 * Creates a window that is unbounded until the endpoint turns a statement away; then it is halved, and grows by one for each full window that is served.
 *
 * For an endpoint whose queue is full since several hosts send more than it can run. What it turns away comes back soon after on a connection that may have to be opened anew, and each
 * opening takes a slot from statements; held back here, statements wait where they can be ordered, and connections stay open.
 */
export function createCongestionWindow(): CongestionWindow {
	let size = Number.POSITIVE_INFINITY;
	let shrunkAt = Number.NEGATIVE_INFINITY;

	return {
		get size() {
			return size;
		},
		noteServed() {
			size += 1 / size;
			if (size >= UNBOUNDED_FROM) {
				size = Number.POSITIVE_INFINITY;
			}
		},
		noteTurnedAway(underWay, now) {
			if (now - shrunkAt >= SHRINK_EVERY_MS) {
				shrunkAt = now;
				size = Math.max(1, Math.min(size, underWay) * DECREASE);
			}
		},
	};
}
