import type {LogPosition} from '../terms/log-position.js';

/** What the primary's log held over time as its own answers showed it; for predictions alone, since nothing confirms it. */
export type PrimaryHistory = {
	/** Notes that the primary showed a log that ends at `log`. */
	note(log: LogPosition, now: number): void;
	/** About when the primary's log reached that end; undefined where it was not seen to, or is too long ago. */
	getReachedAt(log: LogPosition): number | undefined;
};

/** A position and when it was seen first and last. */
type Point = {
	readonly position: number;
	readonly firstAt: number;
	lastAt: number;
};

/** Points kept at most; half of them are dropped when they are reached. */
const MAX_POINTS = 1024;

/** Creates an empty history; a higher term begins it anew. */
export function createPrimaryHistory(): PrimaryHistory {
	let points: Point[] = [];
	let term = 0;

	const findFirstAtLeast = (position: number) => {
		let low = 0;
		let high = points.length;
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (points[middle]!.position < position) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	return {
		note(log, now) {
			if (log.term > term) {
				term = log.term;
				points = [];
			}

			const last = points.at(-1);
			if (log.term < term || (last && log.position < last.position)) {
				return;
			}

			if (last?.position === log.position) {
				last.lastAt = now;
				return;
			}

			points.push({position: log.position, firstAt: now, lastAt: now});
			if (points.length > MAX_POINTS) {
				points.splice(0, MAX_POINTS / 2);
			}
		},
		getReachedAt(log) {
			const index = findFirstAtLeast(log.position);
			const after = points[index];
			const before = points[index - 1];
			if (log.term !== term || !after || !before) {
				return undefined;
			}

			const part = (log.position - before.position) / (after.position - before.position);
			return before.lastAt + (part * (after.firstAt - before.lastAt));
		},
	};
}
