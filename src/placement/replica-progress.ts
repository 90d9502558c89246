import {compareLogPositions, holdsLogPosition, type LogPosition} from '../terms/log-position.js';

/** How far a replica has applied the log, and how fast it applies it, from the positions that it reports. Times are elapsed times in milliseconds. */
export type ReplicaProgress = {
	/** Notes that the replica reported `held` at `now`. */
	note(now: number, held: LogPosition): void;
	/** Returns the time from `now` until the replica reaches the floor: 0 where it has, Infinity where its rate does not let it, undefined where it reported nothing. */
	predict(now: number, floor: LogPosition): number | undefined;
	/** The position that it reported last, and when. */
	readonly held: LogPosition | undefined;
	readonly heldAt: number;
};

type Report = {readonly at: number; readonly position: number};

/** Time over which the rate of a replica is measured, and the minimum for a rate, in milliseconds: commits of a group come in intervals of some tens of milliseconds. */
const RATE_WINDOW_MS = 600;
const MIN_RATE_SPAN_MS = 100;

/** Interval between the reports that a rate is measured with, in milliseconds. */
const REPORT_INTERVAL_MS = 40;

/** Creates the progress of a replica that has reported nothing. */
export function createReplicaProgress(): ReplicaProgress {
	let held: LogPosition | undefined;
	let heldAt = Number.NEGATIVE_INFINITY;
	let reports: Report[] = [];

	/** Returns the log entries that the replica applies in a millisecond; undefined where too few reports were noted. */
	const getRate = () => {
		const first = reports[0];
		return first && held && heldAt - first.at >= MIN_RATE_SPAN_MS ? (held.position - first.position) / (heldAt - first.at) : undefined;
	};

	return {
		get held() {
			return held;
		},
		get heldAt() {
			return heldAt;
		},
		note(now, position) {
			// Responses on several connections may arrive out of order.
			if (now < heldAt) {
				return;
			}

			// A log that was rolled back, or that follows another primary, has no rate yet.
			if (held && (position.term !== held.term || compareLogPositions(position, held) < 0)) {
				reports = [];
			}

			held = position;
			heldAt = now;
			const last = reports.at(-1);
			if (!last || now - last.at >= REPORT_INTERVAL_MS) {
				reports = [...reports.filter(({at}) => at > now - RATE_WINDOW_MS), {at: now, position: position.position}];
			}
		},
		predict(now, floor) {
			if (!held) {
				return undefined;
			}

			if (holdsLogPosition(held, floor)) {
				return 0;
			}

			const rate = getRate();
			if (rate === undefined || floor.term !== held.term) {
				return undefined;
			}

			return rate > 0 ? Math.max(0, heldAt + ((floor.position - held.position) / rate) - now) : Number.POSITIVE_INFINITY;
		},
	};
}
