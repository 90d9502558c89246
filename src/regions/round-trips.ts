import type {Topology} from './topology.js';

/** Measured round-trip times from this host. */
export type RoundTrips = {
	/** Returns the round-trip time to a zone in milliseconds; where none was measured, that of the fastest zone of its region; undefined if there is none. */
	getMs(zone: string, now: number): number | undefined;
};

/** A round-trip time that is updated by samples. */
export type RoundTrip = {
	/** Adds a sample of `ms` milliseconds that ended at `now`. */
	note(ms: number, now: number): void;
	/** Returns the smallest sample of the last minutes in milliseconds, the time without queueing; undefined if there is none. */
	getMinMs(now: number): number | undefined;
	/** Returns the smoothed time in milliseconds; undefined if there is no sample of the last minutes. */
	getSmoothedMs(now: number): number | undefined;
	/** Time of the last sample; undefined before the first. */
	readonly lastAt: number | undefined;
};

/** The measurement of round-trip times by zone. */
export type RoundTripMeasurement = RoundTrips & {
	/** Adds a sample of a call to a host in `zone`. */
	note(zone: string, ms: number, now: number): void;
};

/** Time constant of the smoothing, in milliseconds: long enough for single queued messages, short enough to detect congestion within a second. */
const SMOOTHING_MS = 500;

/** Duration of one of the two windows of the minimum, in milliseconds. A route between regions that has changed for good is noticed after two; congestion is shorter. */
const MIN_WINDOW_MS = 120_000;

/** Creates a round-trip time without samples. */
export function createRoundTrip(): RoundTrip {
	let smoothed = 0;
	let lastAt: number | undefined;
	let windowEndsAt = Number.NEGATIVE_INFINITY;
	let previousMin = Number.POSITIVE_INFINITY;
	let currentMin = Number.POSITIVE_INFINITY;

	const rotate = (now: number) => {
		if (now < windowEndsAt) {
			return;
		}

		previousMin = now < windowEndsAt + MIN_WINDOW_MS ? currentMin : Number.POSITIVE_INFINITY;
		currentMin = Number.POSITIVE_INFINITY;
		windowEndsAt = now + MIN_WINDOW_MS;
	};

	const getMinMs = (now: number) => {
		rotate(now);
		const min = Math.min(previousMin, currentMin);
		return min === Number.POSITIVE_INFINITY ? undefined : min;
	};

	return {
		note(ms, now) {
			const isFirst = getMinMs(now) === undefined;
			currentMin = Math.min(currentMin, ms);
			// Weighted by the time since the last sample, with a floor, so that a burst of samples counts little more than one.
			const weight = isFirst ? 1 : Math.max(0.1, 1 - Math.exp(((lastAt ?? now) - now) / SMOOTHING_MS));
			smoothed += weight * (ms - smoothed);
			lastAt = now;
		},
		getMinMs,
		getSmoothedMs: now => getMinMs(now) === undefined ? undefined : smoothed,
		get lastAt() {
			return lastAt;
		},
	};
}

/** Creates the measurement by zone. */
export function createRoundTrips({getRegion}: Pick<Topology, 'getRegion'>): RoundTripMeasurement {
	const byZone = new Map<string, RoundTrip>();

	const getFastestOfRegion = (region: string, now: number) => {
		const times = [...byZone].filter(([zone]) => getRegion(zone) === region).map(([, roundTrip]) => roundTrip.getMinMs(now)).filter(ms => ms !== undefined);
		return times.length === 0 ? undefined : Math.min(...times);
	};

	return {
		note(zone, ms, now) {
			let roundTrip = byZone.get(zone);
			if (!roundTrip) {
				roundTrip = createRoundTrip();
				byZone.set(zone, roundTrip);
			}

			roundTrip.note(ms, now);
		},
		getMs: (zone, now) => byZone.get(zone)?.getMinMs(now) ?? getFastestOfRegion(getRegion(zone), now),
	};
}
