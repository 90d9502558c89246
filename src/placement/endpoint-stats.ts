import type {LogPosition} from '../terms/log-position.js';

/** Statistics that this host keeps of an endpoint's responses. */
export type EndpointStats = {
	/** Smoothed time of a statement there, in milliseconds. */
	readonly serviceMs: number;
	/** Log position that it last reported; undefined before the first. */
	readonly held: LogPosition | undefined;
	/** Elapsed time at which it reported `held`. */
	readonly heldAt: number;
	/** Records a statement that it answered after `tookMs`. */
	noteAnswer(tookMs: number): void;
	/** Records the log position that it reported at the elapsed time `now`. */
	noteHeld(now: number, held: LogPosition): void;
};

/** Assumed time of a statement before any was measured, in milliseconds: between the users' lightest of 3 and heaviest of 40. */
const INITIAL_SERVICE_MS = 15;

/** Weight of the newest response. */
const SAMPLE_WEIGHT = 0.1;

/** Creates the statistics of one endpoint. */
export function createEndpointStats(): EndpointStats {
	let serviceMs = INITIAL_SERVICE_MS;
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
			serviceMs += SAMPLE_WEIGHT * (tookMs - serviceMs);
		},
		noteHeld(now, position) {
			// Responses on several connections may arrive out of order.
			if (held && now < heldAt) {
				return;
			}

			held = position;
			heldAt = now;
		},
	};
}
