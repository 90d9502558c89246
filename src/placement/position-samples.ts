import {compareLogPositions, type LogPosition} from '../terms/log-position.js';

/** Log positions that a group's primary reported, with the times at which they were requested. */
export type PositionSamples = {
	/**
	 * Records a position that a primary reported. It was requested at elapsed time `askedAt`, under a primary lease that was valid then, so the
	 * position covers every commit acknowledged before.
	 */
	note(askedAt: number, position: LogPosition): void;
	/** Returns the oldest sample requested at or after `since`: the lowest floor that covers all commits acknowledged before `since`. */
	getFloor(since: number): LogPosition | undefined;
	/** Returns the newest sample; undefined where there is none. */
	getNewest(): PositionSample | undefined;
	/** Returns the latest elapsed time at which the primary is known not to have been ahead of `position`; undefined where all samples are ahead of it. */
	getTimeOf(position: LogPosition): number | undefined;
	/** Clamps the samples to the start of the current primary's term. */
	applyTermStart(start: TermStart): void;
};

/** The log position at which a primary's term began. */
export type TermStart = {
	/** The primary's term. */
	readonly term: number;
	/** End of its log when it was first observed as primary; the last entry may be of an earlier term. */
	readonly start: LogPosition;
};

/** A log position of a primary, with the elapsed time at which it was requested. */
export type PositionSample = {
	readonly askedAt: number;
	readonly position: LogPosition;
};

/** Age from which a sample is dropped, in milliseconds: no route needs older ones, since the routes seen allow a staleness of 2,500 at most. */
const RETENTION_MS = 10_000;

/** Minimum interval between samples, in milliseconds: a floor is newer than necessary by no more than this. */
const MIN_SAMPLE_INTERVAL_MS = 40;

/** Creates the samples of one group. */
export function createPositionSamples(): PositionSamples {
	let samples: PositionSample[] = [];

	return {
		note(askedAt, position) {
			const last = samples.at(-1);
			if (last && askedAt - last.askedAt < MIN_SAMPLE_INTERVAL_MS) {
				return;
			}

			samples = samples.filter(sample => sample.askedAt > askedAt - RETENTION_MS);
			samples.push({askedAt, position});
		},
		getFloor(since) {
			return samples.find(sample => sample.askedAt >= since)?.position;
		},
		getNewest: () => samples.at(-1),
		getTimeOf(position) {
			return samples.findLast(sample => compareLogPositions(sample.position, position) <= 0)?.askedAt;
		},
		applyTermStart(start) {
			samples = samples.map(({askedAt, position}) => ({askedAt, position: clampToTermStart(position, start)}));
		},
	};
}

/**
 * Clamps a position of a superseded term to the start of the later term; returns others as they are. What lay beyond the start was rolled back, and no log will ever hold it.
 *
 * The term of the primary decides, and not that of its first log end: the log of a primary that has written nothing yet ends with an entry of an earlier term. If the log end
 * decided, a position of that earlier term beyond the entry, or of a term in between whose entries no endpoint kept, would make every host reject the primary as one that has
 * lost its log.
 */
export function clampToTermStart(position: LogPosition, {term, start}: TermStart): LogPosition {
	const isBeyond = position.position > start.position || compareLogPositions(position, start) > 0;
	return position.term < term && isBeyond ? start : position;
}

/** Returns the higher of two floors; an absent one counts as the lowest. */
export function getHigherFloor(left: LogPosition | undefined, right: LogPosition | undefined): LogPosition | undefined {
	if (!left || !right) {
		return left ?? right;
	}

	return compareLogPositions(left, right) >= 0 ? left : right;
}
