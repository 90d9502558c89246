import {holdsLogPosition, type LogPosition} from '../terms/log-position.js';

/** What this host measured of an endpoint's answers. */
export type EndpointFigures = {
	/** Usual time of a statement there, in milliseconds. */
	readonly serviceMs: number;
	/** Latest position that it was seen to hold. */
	readonly held: LogPosition | undefined;
	/** Steady time until which it is expected to lack the floors that it lacked last. */
	readonly laggingUntil: number;
	/** Notes a statement that it answered after `tookMs`. */
	noteAnswer(tookMs: number, held: LogPosition | undefined): void;
	/** Notes that it lacked a floor at the steady time `now`. */
	noteLagging(now: number, held: LogPosition | undefined): void;
};

/** Time of a statement before any was measured, in milliseconds: between the users' lightest of 3 and heaviest of 40. */
const FIRST_SERVICE_MS = 15;

/** Weight of the newest answer. */
const NEWEST_WEIGHT = 0.1;

/**
 * An endpoint that lacked a floor is passed over for so long, in milliseconds. Being told so costs one exchange of 1 to 3 ms, and
 * floors are seconds old, so one that lacks them is far behind and catches up slowly.
 */
const LAGGING_FOR_MS = 150;

/** Creates the figures of one endpoint. */
export function createEndpointFigures(): EndpointFigures {
	let serviceMs = FIRST_SERVICE_MS;
	let held: LogPosition | undefined;
	let laggingUntil = 0;

	const noteHeld = (position: LogPosition | undefined) => {
		if (position && !(held && holdsLogPosition(held, position))) {
			held = position;
		}
	};

	return {
		get serviceMs() {
			return serviceMs;
		},
		get held() {
			return held;
		},
		get laggingUntil() {
			return laggingUntil;
		},
		noteAnswer(tookMs, position) {
			serviceMs += NEWEST_WEIGHT * (tookMs - serviceMs);
			noteHeld(position);
		},
		noteLagging(now, position) {
			laggingUntil = now + LAGGING_FOR_MS;
			noteHeld(position);
		},
	};
}
