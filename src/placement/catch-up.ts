import {holdsLogPosition, type LogPosition} from '../terms/log-position.js';
import type {PositionSamples} from './position-samples.js';

/** The log position that an endpoint last reported. */
export type HeldPosition = {
	readonly held: LogPosition | undefined;
	/** Elapsed time at which it was reported. */
	readonly heldAt: number;
};

/**
 * Maximum age of a reported position that a prediction uses, in milliseconds: an endpoint whose replication had stopped may have
 * caught up since, so it gets reads again. A refusal because it is below the floor costs one exchange of 1 to 3 ms.
 */
export const MAX_OBSERVATION_AGE_MS = 400;

/**
 * Predicts how long it takes, from the elapsed time `now` on, until a replica holds `floor`, in milliseconds; 0 where it is
 * assumed to hold it already.
 *
 * The replica is assumed to lag behind the primary by a nearly constant time: it holds now what the primary held that long ago.
 * One that never reported a position is assumed to hold the floor, since its response will show whether it does.
 */
export function predictCatchUp(samples: PositionSamples, {held, heldAt}: HeldPosition, floor: LogPosition, now: number): number {
	if (!held || holdsLogPosition(held, floor) || now - heldAt > MAX_OBSERVATION_AGE_MS) {
		return 0;
	}

	const primaryTimeOfHeld = samples.getTimeOf(held);
	const primaryTimeOfFloor = samples.getTimeOf(floor);
	if (primaryTimeOfFloor === undefined) {
		return 0;
	}

	// If even the oldest sample is ahead of the replica, its lag exceeds the time for which samples are kept.
	const lagMs = primaryTimeOfHeld === undefined ? Number.POSITIVE_INFINITY : heldAt - primaryTimeOfHeld;
	return Math.max(0, primaryTimeOfFloor + lagMs - now);
}
