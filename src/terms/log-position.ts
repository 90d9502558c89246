/**
 * A position in a database group's log: the term of the last entry and the number of entries up to and including it.
 *
 * Positions are ordered by term first: a server with more entries of an older term may hold a divergent tail.
 */
export type LogPosition = {
	/** Term of the last entry. */
	readonly term: number;
	/** Number of log entries held; the first entry has position 1. */
	readonly position: number;
};

/** The start of every log. */
export const LOG_START: LogPosition = {term: 0, position: 0};

/** Compares two positions; returns a negative number if `left` is behind `right`, and 0 if they are equal. */
export function compareLogPositions(left: LogPosition, right: LogPosition): number {
	return left.term === right.term ? left.position - right.position : left.term - right.term;
}

/** Returns whether a log that ends at `held` contains the entry at `floor`. */
export function holdsLogPosition(held: LogPosition, floor: LogPosition): boolean {
	return compareLogPositions(held, floor) >= 0;
}

/** Returns the later of two positions. */
export function getLaterLogPosition(left: LogPosition, right: LogPosition): LogPosition {
	return compareLogPositions(left, right) >= 0 ? left : right;
}
