import {createRoundTrip} from './round-trips.js';

/** The link to another region, as far as round-trip times show its load. */
export type RegionLink = {
	/** Adds the round-trip time of a call to a host of that region that was answered at once, in milliseconds. */
	note(ms: number, now: number): void;
	/** Returns the share of reads that may cross the link although another endpoint can serve them, from 0 to 1. */
	getCrossingShare(now: number): number;
	/** Returns the round-trip times in milliseconds; undefined where none was measured in the last minutes. */
	getTimes(now: number): {readonly smoothedMs: number; readonly minMs: number} | undefined;
	/** Time of the last sample; undefined before the first. */
	readonly lastAt: number | undefined;
};

/** Multiple of the minimum round-trip time up to which all optional reads may cross: below it the link queues next to nothing. */
const FREE_MULTIPLE = 1.3;

/** Multiple of the minimum round-trip time from which no optional read crosses: as much time is spent in queues as on the way. */
const CONGESTED_MULTIPLE = 2;

/** Age of the last sample from which the excess counts less, in milliseconds: a link that nothing crosses any more would otherwise stay closed. */
const STALE_AFTER_MS = 1500;

/** Time constant with which an old excess decays, in milliseconds. */
const DECAY_MS = 1000;

/** Creates a link without samples, which optional reads may cross. */
export function createRegionLink(): RegionLink {
	const roundTrip = createRoundTrip();
	let last: {readonly ms: number; readonly at: number} | undefined;

	const getTimes = (now: number) => {
		const minMs = roundTrip.getMinMs(now);
		const smoothedMs = roundTrip.getSmoothedMs(now);
		return minMs === undefined || smoothedMs === undefined ? undefined : {minMs, smoothedMs};
	};

	const getExcess = (now: number) => {
		const times = getTimes(now);
		if (!times || times.minMs <= 0) {
			return 0;
		}

		const age = now - (roundTrip.lastAt ?? now);
		return ((times.smoothedMs / times.minMs) - 1) * Math.exp(-Math.max(0, age - STALE_AFTER_MS) / DECAY_MS);
	};

	return {
		// The smaller of two samples: a host that was out of processor time answers late once, whereas a full link delays both.
		note(ms, now) {
			const isRecent = last !== undefined && now - last.at < STALE_AFTER_MS;
			roundTrip.note(isRecent ? Math.min(ms, last!.ms) : ms, now);
			last = {ms, at: now};
		},
		getCrossingShare(now) {
			const share = (CONGESTED_MULTIPLE - (1 + getExcess(now))) / (CONGESTED_MULTIPLE - FREE_MULTIPLE);
			return Math.min(1, Math.max(0, share));
		},
		getTimes,
		get lastAt() {
			return roundTrip.lastAt;
		},
	};
}
