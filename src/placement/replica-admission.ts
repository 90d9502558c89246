import {compareLogPositions, holdsLogPosition, type LogPosition} from '../terms/log-position.js';

/** Whether a host sends reads to a replica that may be behind their floors. Times are elapsed times in milliseconds. */
export type ReplicaAdmission = {
	/** Whether it has refused a read, and is not known to have reached the floor of that read since. */
	readonly closed: boolean;
	/** Notes that the replica reported `held` at `now`. Returns the error of the prediction that this report decides, in milliseconds. */
	note(now: number, held: LogPosition): number | undefined;
	/** Notes that a read was refused because of its floor; `reachedInMs` is the predicted time until the replica holds that, undefined where none was predicted. */
	noteLagging(now: number, floor: LogPosition, reachedInMs: number | undefined): void;
	/** Returns when the replica can serve a read of the floor. */
	predict(now: number, floor: LogPosition): CatchUpPrediction;
	/** Notes that a read is sent to the replica although it is closed. */
	noteTrial(now: number): void;
	/** Returns the share of reads that the replica may get, from 0 to 1. */
	getShare(now: number): number;
};

/** When a replica can serve reads of a floor. */
export type CatchUpPrediction = {
	/** Time until the replica holds the floor, in milliseconds; 0 where it holds it, Infinity where it is not expected to. */
	readonly catchUpMs: number;
	/** Whether the replica is closed, and a single read is due that shows whether it still is. */
	readonly isTrial: boolean;
};

/**
 * A closed replica may be tried at this interval, in milliseconds. A try costs one exchange with a host that keeps connections to the replica, which
 * mostly refuses it without the endpoint.
 */
const TRIAL_INTERVAL_MS = 100;

/** Age up to which a prediction also applies to reads of later floors, in milliseconds: the floors advance as the replica does. */
const MAX_PREDICTION_AGE_MS = 200;

/** Share of reads that a replica gets once it has passed the floor, which doubles at the interval in milliseconds: all hosts learn of it at about the same time. */
const READMISSION_SHARE = 1 / 8;
const READMISSION_DOUBLING_MS = 100;

type Closed = {readonly floor: LogPosition; readonly at: number; readonly reachedInMs: number};

/** Creates the admission of a replica that has reported nothing. */
export function createReplicaAdmission(): ReplicaAdmission {
	let held: LogPosition | undefined;
	let heldAt = Number.NEGATIVE_INFINITY;
	/** The refusal of the highest floor since the replica was open. */
	let closed: Closed | undefined;
	let trialAt = Number.NEGATIVE_INFINITY;
	let reopenedAt = Number.NEGATIVE_INFINITY;

	const reopen = (now: number, {at, reachedInMs}: Closed): number | undefined => {
		closed = undefined;
		reopenedAt = now;
		return Number.isFinite(reachedInMs) ? now - (at + reachedInMs) : undefined;
	};

	return {
		get closed() {
			return closed !== undefined;
		},
		note(now, position) {
			if (now < heldAt) {
				return undefined;
			}

			held = position;
			heldAt = now;
			return closed && holdsLogPosition(position, closed.floor) ? reopen(now, closed) : undefined;
		},
		noteLagging(now, floor, reachedInMs = Number.POSITIVE_INFINITY) {
			trialAt = now;
			closed = {floor: closed && compareLogPositions(closed.floor, floor) > 0 ? closed.floor : floor, at: now, reachedInMs};
		},
		predict(now, floor) {
			if (!closed || (held && holdsLogPosition(held, floor))) {
				return {catchUpMs: 0, isTrial: false};
			}

			const isTrial = now - trialAt >= TRIAL_INTERVAL_MS;
			const isCovered = holdsLogPosition(closed.floor, floor);
			if (isCovered || now - closed.at <= MAX_PREDICTION_AGE_MS) {
				const openAt = isCovered ? closed.at + closed.reachedInMs : now + closed.reachedInMs;
				const catchUpMs = Math.max(0, openAt - now);
				// No attempt is made before the predicted time, except where nothing was predicted.
				return {catchUpMs, isTrial: isTrial && (catchUpMs === 0 || catchUpMs === Number.POSITIVE_INFINITY)};
			}

			return {catchUpMs: closed.reachedInMs, isTrial};
		},
		noteTrial(now) {
			trialAt = now;
		},
		getShare(now) {
			return closed ? READMISSION_SHARE : Math.min(1, READMISSION_SHARE * (2 ** ((now - reopenedAt) / READMISSION_DOUBLING_MS)));
		},
	};
}
