import {compareLogPositions, type LogPosition} from '../terms/log-position.js';

/** Positions seen at a group's primary, with the times at which they were asked for. */
export type PositionSamples = {
	/**
	 * Notes a position that a primary answered with. The question went out at elapsed time `askedAt`, under evidence that held then, so the
	 * position covers every commit acknowledged before.
	 */
	note(askedAt: number, position: LogPosition): void;
	/** The oldest sample asked for at or after `since`: the lowest floor that still covers all that was acknowledged before `since`. */
	getFloor(since: number): LogPosition | undefined;
	/** The newest sample. */
	getNewest(): PositionSample | undefined;
	/** Elapsed time at which the primary's log is known to have been no further than `position`; undefined where all samples are further. */
	getTimeOf(position: LogPosition): number | undefined;
	/** Takes in where the present primary began. */
	noteStart(start: TermStart): void;
};

/** Where a primary's term began. */
export type TermStart = {
	/** The primary's term. */
	readonly term: number;
	/** End of its log when it was first seen to lead; its last entry may be of an earlier term. */
	readonly start: LogPosition;
};

/** A position of a primary, with the elapsed time at which it was asked for. */
export type PositionSample = {
	readonly askedAt: number;
	readonly position: LogPosition;
};

/** A sample older than this serves no route's staleness, in milliseconds; the routes seen allow 2,500 at most. */
const KEEP_MS = 10_000;

/** Samples this close together count as one, in milliseconds: the floor loses no more than that of its age. */
const SPACING_MS = 40;

/** Creates the samples of one group. */
export function createPositionSamples(): PositionSamples {
	let samples: PositionSample[] = [];

	return {
		note(askedAt, position) {
			const last = samples.at(-1);
			if (last && askedAt - last.askedAt < SPACING_MS) {
				return;
			}

			samples = samples.filter(sample => sample.askedAt > askedAt - KEEP_MS);
			samples.push({askedAt, position});
		},
		getFloor(since) {
			return samples.find(sample => sample.askedAt >= since)?.position;
		},
		getNewest: () => samples.at(-1),
		getTimeOf(position) {
			return samples.findLast(sample => compareLogPositions(sample.position, position) <= 0)?.askedAt;
		},
		noteStart(start) {
			samples = samples.map(({askedAt, position}) => ({askedAt, position: limitToStart(position, start)}));
		},
	};
}

/**
 * Brings a position of a superseded term down to where the later term began; others stay as they are. What lay beyond was rolled back, and no log will ever hold it.
 *
 * Judged by the term of the primary and not by that of its first log end: a primary that has written nothing yet ends its log with an entry of an earlier term, and a position
 * of that term beyond it, or of a term between that nobody kept, would have every host turn the primary away as one that has lost its log.
 */
export function limitToStart(position: LogPosition, {term, start}: TermStart): LogPosition {
	const isBeyond = position.position > start.position || compareLogPositions(position, start) > 0;
	return position.term < term && isBeyond ? start : position;
}

/** The later of two floors; an absent one binds nothing. */
export function getHigherFloor(left: LogPosition | undefined, right: LogPosition | undefined): LogPosition | undefined {
	if (!left || !right) {
		return left ?? right;
	}

	return compareLogPositions(left, right) >= 0 ? left : right;
}
