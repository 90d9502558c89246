import type {LogPosition} from '../terms/log-position.js';

/** The end of the primary's log over time, as the primary itself reported it. It is used for predictions only, since no majority confirms it. */
export type PrimaryHistory = {
	/** Records that the primary reported a log that ends at `log`. */
	note(log: LogPosition, now: number): void;
	/** Returns the estimated time at which the primary's log reached that end; undefined if that was not observed or is too long ago. */
	getReachedAt(log: LogPosition): number | undefined;
};

/** A position and the first and last time at which it was observed. */
type Point = {
	readonly position: number;
	readonly firstAt: number;
	lastAt: number;
};

/** Maximum number of points; the older half is dropped once there are more. */
const MAX_POINTS = 1024;

/** Creates an empty history; a higher term clears it. */
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

			const fraction = (log.position - before.position) / (after.position - before.position);
			return before.lastAt + (fraction * (after.firstAt - before.lastAt));
		},
	};
}
