/**
 * A place in a database group's log: the term of the last entry and how many entries precede and include it.
 *
 * Positions order by term first: a server with more entries of an older term may carry a divergent tail.
 */
export type LogPosition = {
	/** Term of the last entry. */
	readonly term: number;
	/** Count of log entries held, from 1. */
	readonly position: number;
};

/** The start of every log. */
export const LOG_START: LogPosition = {term: 0, position: 0};

/** Orders two positions: negative where `left` is behind `right`. */
export function compareLogPositions(left: LogPosition, right: LogPosition): number {
	return left.term === right.term ? left.position - right.position : left.term - right.term;
}

/** Tells whether a log that ends at `held` contains the entry at `floor`. */
export function holdsLogPosition(held: LogPosition, floor: LogPosition): boolean {
	return compareLogPositions(held, floor) >= 0;
}

/** The later of two positions. */
export function getLaterLogPosition(left: LogPosition, right: LogPosition): LogPosition {
	return compareLogPositions(left, right) >= 0 ? left : right;
}
