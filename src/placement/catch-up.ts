import {holdsLogPosition, type LogPosition} from '../terms/log-position.js';
import type {PositionSamples} from './position-samples.js';

/** What an endpoint was last seen to hold. */
export type HeldPosition = {
	readonly held: LogPosition | undefined;
	/** Elapsed time at which it was seen. */
	readonly heldAt: number;
};

/**
 * What was seen longer ago says nothing any more, in milliseconds: an endpoint that had stopped receiving may have caught up, and is
 * asked again. Being refused for lack of the floor costs one exchange of 1 to 3 ms.
 */
export const FORGET_AFTER_MS = 400;

/**
 * Predicts how long it takes, from the elapsed time `now` on, until a replica holds `floor`, in milliseconds; 0 where it is
 * taken to hold it already.
 *
 * It lags behind the primary by a time that changes slowly: what the primary held that long ago, the replica holds now.
 * One that was never seen is taken to hold the floor: an answer tells.
 */
export function predictCatchUp(samples: PositionSamples, {held, heldAt}: HeldPosition, floor: LogPosition, now: number): number {
	if (!held || holdsLogPosition(held, floor) || now - heldAt > FORGET_AFTER_MS) {
		return 0;
	}

	const primaryHadHeldAt = samples.getTimeOf(held);
	const primaryHadFloorAt = samples.getTimeOf(floor);
	if (primaryHadFloorAt === undefined) {
		return 0;
	}

	// Where even the oldest sample is further, the replica lags by more than samples are kept.
	const lagMs = primaryHadHeldAt === undefined ? Number.POSITIVE_INFINITY : heldAt - primaryHadHeldAt;
	return Math.max(0, primaryHadFloorAt + lagMs - now);
}
