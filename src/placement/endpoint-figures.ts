import type {LogPosition} from '../terms/log-position.js';

/** What this host measured of an endpoint's answers. */
export type EndpointFigures = {
	/** Usual time of a statement there, in milliseconds. */
	readonly serviceMs: number;
	/** Latest position that it was seen to hold. */
	readonly held: LogPosition | undefined;
	/** Elapsed time at which it answered with `held`. */
	readonly heldAt: number;
	/** Notes a statement that it answered after `tookMs`. */
	noteAnswer(tookMs: number): void;
	/** Notes the position that it answered with at the elapsed time `now`. */
	noteHeld(now: number, held: LogPosition): void;
};

/** Time of a statement before any was measured, in milliseconds: between the users' lightest of 3 and heaviest of 40. */
const FIRST_SERVICE_MS = 15;

/** Weight of the newest answer. */
const NEWEST_WEIGHT = 0.1;

/** Creates the figures of one endpoint. */
export function createEndpointFigures(): EndpointFigures {
	let serviceMs = FIRST_SERVICE_MS;
	let held: LogPosition | undefined;
	let heldAt = 0;

	return {
		get serviceMs() {
			return serviceMs;
		},
		get held() {
			return held;
		},
		get heldAt() {
			return heldAt;
		},
		noteAnswer(tookMs) {
			serviceMs += NEWEST_WEIGHT * (tookMs - serviceMs);
		},
		noteHeld(now, position) {
			// Answers on several connections may cross.
			if (held && now < heldAt) {
				return;
			}

			held = position;
			heldAt = now;
		},
	};
}
