import {compareLogPositions, holdsLogPosition, type LogPosition} from '../terms/log-position.js';
import type {PositionSamples} from './position-samples.js';

/** How far a replica has applied the log, and how fast it applies it, from the positions that it reports. Times are elapsed times in milliseconds. */
export type ReplicaProgress = {
	/** Whether it has refused a read, and has not reached the floor of that read since. */
	readonly closed: boolean;
	/** Notes that the replica reported `held` at `now`. Returns the error of an earlier prediction that this report decides, in milliseconds. */
	note(now: number, held: LogPosition, samples: PositionSamples): number | undefined;
	/** Notes that the replica refused a read because it had not reached `floor`. */
	noteLagging(now: number, floor: LogPosition, samples: PositionSamples): void;
	/** Predicts when the replica reaches a floor. */
	predict(now: number, floor: LogPosition, samples: PositionSamples): CatchUpPrediction;
	/** Notes that a read is sent to the replica although it is closed. */
	noteTrial(now: number): void;
	/** Returns the share of reads that the replica may get after it was closed, from 0 to 1. */
	getShare(now: number): number;
};

/** When a replica can serve reads of a floor. */
export type CatchUpPrediction = {
	/** Time until the replica holds the floor, in milliseconds; 0 where it holds it, Infinity where its rate does not let it reach the floor. */
	readonly catchUpMs: number;
	/** Whether the replica is closed, and a single read is due that shows whether it still is. */
	readonly isTrial: boolean;
};

/** A report, with the time at which the primary held the reported position. */
type Report = {readonly at: number; readonly primaryTime: number};

/** Time over which the rate of a replica is measured, in milliseconds, and the minimum for a rate. */
const RATE_WINDOW_MS = 600;
const MIN_RATE_SPAN_MS = 60;

/** Interval between the reports that a rate is measured with, in milliseconds: positions of a primary are sampled at this interval, too. */
const REPORT_INTERVAL_MS = 40;

/** Rates below this are taken as a stopped replica, and above the maximum as that: a slope over 600 ms is not exact. */
const MIN_RATE = 0.1;
const MAX_RATE = 8;

/**
 * A closed replica gets a single read at this interval, in milliseconds, doubled after each refusal up to the maximum. The read costs a slot of an endpoint that
 * has no other work; the maximum bounds how long a recovery goes unnoticed.
 */
const TRIAL_INTERVAL_MS = 100;
const MAX_TRIAL_INTERVAL_MS = 400;

/** Share of reads that a replica gets once it has passed the floor, which doubles at the interval in milliseconds: all hosts learn of it at about the same time. */
const READMISSION_SHARE = 1 / 8;
const READMISSION_DOUBLING_MS = 100;

/** Creates the progress of a replica that has reported nothing. */
export function createReplicaProgress(): ReplicaProgress {
	let held: LogPosition | undefined;
	let heldAt = Number.NEGATIVE_INFINITY;
	let reports: Report[] = [];
	/** The read that was refused last, with the predicted time of its floor; undefined once the replica has passed the floor. */
	let closed: {readonly floor: LogPosition; readonly predictedAt: number} | undefined;
	let trialAt = Number.NEGATIVE_INFINITY;
	let trialIntervalMs = TRIAL_INTERVAL_MS;
	let reopenedAt = Number.NEGATIVE_INFINITY;

	/** Returns the time by which the replica's copy advances in each unit of the primary's time. */
	const getRate = () => {
		const first = reports[0];
		const last = reports.at(-1);
		if (!first || !last || last.at - first.at < MIN_RATE_SPAN_MS) {
			return 1;
		}

		return Math.min(MAX_RATE, (last.primaryTime - first.primaryTime) / (last.at - first.at));
	};

	/** Returns the time at which the replica reaches the floor; undefined where nothing allows a prediction. */
	const predictAt = (floor: LogPosition, samples: PositionSamples): number | undefined => {
		const floorTime = samples.getTimeOf(floor);
		if (!held || floorTime === undefined) {
			return undefined;
		}

		const heldTime = samples.getTimeOf(held);
		const rate = getRate();
		if (heldTime === undefined || rate < MIN_RATE) {
			return Number.POSITIVE_INFINITY;
		}

		return heldAt + ((floorTime - heldTime) / rate);
	};

	const reopen = (now: number): number | undefined => {
		const predictedAt = closed?.predictedAt;
		closed = undefined;
		trialIntervalMs = TRIAL_INTERVAL_MS;
		reopenedAt = now;
		return predictedAt === undefined || predictedAt === Number.POSITIVE_INFINITY ? undefined : now - predictedAt;
	};

	return {
		get closed() {
			return closed !== undefined;
		},
		note(now, position, samples) {
			// Responses on several connections may arrive out of order.
			if (now < heldAt) {
				return undefined;
			}

			// A replica whose log was rolled back, or that was replaced, has no rate yet.
			if (held && compareLogPositions(position, held) < 0) {
				reports = [];
			}

			held = position;
			heldAt = now;
			const primaryTime = samples.getTimeOf(position);
			const last = reports.at(-1);
			if (primaryTime !== undefined && (!last || now - last.at >= REPORT_INTERVAL_MS)) {
				reports = [...reports.filter(({at}) => at > now - RATE_WINDOW_MS), {at: now, primaryTime}];
			}

			return closed && holdsLogPosition(position, closed.floor) ? reopen(now) : undefined;
		},
		noteLagging(now, floor, samples) {
			const predictedAt = Math.max(predictAt(floor, samples) ?? now, now);
			// A refusal at the predicted time shows that the prediction was too early; the next try is no sooner than the interval.
			const isTooEarly = closed !== undefined && now >= closed.predictedAt;
			trialIntervalMs = closed ? Math.min(MAX_TRIAL_INTERVAL_MS, trialIntervalMs * 2) : TRIAL_INTERVAL_MS;
			trialAt = now;
			closed = {floor, predictedAt: isTooEarly ? Math.max(predictedAt, now + trialIntervalMs) : predictedAt};
		},
		predict(now, floor, samples) {
			if (held && holdsLogPosition(held, floor)) {
				return {catchUpMs: 0, isTrial: false};
			}

			const predictedAt = predictAt(floor, samples) ?? now;
			const isCovered = closed && holdsLogPosition(floor, closed.floor);
			const opensAt = isCovered ? Math.max(predictedAt, closed!.predictedAt) : predictedAt;
			const catchUpMs = Math.max(0, opensAt - now);
			// Not every floor is waited for: the reports of a replica that gets no reads grow old, so single reads show where it stands.
			const isTrial = closed !== undefined && now - trialAt >= trialIntervalMs && (catchUpMs === 0 || catchUpMs > MAX_TRIAL_INTERVAL_MS);
			return {catchUpMs, isTrial};
		},
		noteTrial(now) {
			trialAt = now;
		},
		getShare(now) {
			if (closed) {
				return READMISSION_SHARE;
			}

			return Math.min(1, READMISSION_SHARE * (2 ** ((now - reopenedAt) / READMISSION_DOUBLING_MS)));
		},
	};
}
