import type {LogPosition} from '../terms/log-position.js';

/** Maximum number of samples kept; they are thinned so that the gaps between them grow with their age. */
export const MAX_SAMPLES = 128;

/** A time at which the primary's confirmed position was not beyond `log`. */
type Sample = {
	readonly at: number;
	readonly log: LogPosition;
};

/** Samples of the primary's confirmed position over time, from which the age of a replica's data is computed. */
export type ConfirmedSamples = {
	/** Adds a sample: at the time `at` nothing beyond `log` had been acknowledged. Samples may be added in any order of time. */
	add(log: LogPosition, at: number): void;
	/** Returns the latest time at which a log that ends at `log` contained everything acknowledged; undefined if unknown. */
	getHeldAt(log: LogPosition): number | undefined;
	/** Number of samples kept. */
	readonly size: number;
};

/** Returns the index of the sample, other than the first and last, whose removal adds the smallest relative error to an age. */
function findLeastUsefulSample(samples: readonly Sample[], now: number): number {
	let dispensable = 1;
	let minLoss = Infinity;

	for (let i = 1; i < samples.length - 1; i++) {
		const gap = samples[i + 1]!.at - samples[i - 1]!.at;
		const loss = gap / (now - samples[i]!.at + 1);
		if (loss < minLoss) {
			minLoss = loss;
			dispensable = i;
		}
	}

	return dispensable;
}

/** Creates an empty set of samples. Removing a sample can only make a computed age larger. */
export function createConfirmedSamples(): ConfirmedSamples {
	// Oldest first; time, term and, within a term, position all rise.
	const samples: Sample[] = [];

	/** Returns the index at which a sample of that time is inserted, so that samples stay in order of time. */
	const findPlace = (at: number) => samples.findLastIndex(sample => sample.at <= at) + 1;

	const dropDominated = (log: LogPosition, place: number) => {
		// A later sample at the same or a lower position of the same term makes the earlier one redundant.
		let first = place;
		while (first > 0 && samples[first - 1]!.log.term === log.term && samples[first - 1]!.log.position >= log.position) {
			first--;
		}

		samples.splice(first, place - first);
		return first;
	};

	const isDominated = (log: LogPosition, next: Sample | undefined) =>
		next?.log.term === log.term && next.log.position <= log.position;

	const isContradicted = (log: LogPosition, place: number) =>
		(place > 0 && log.term < samples[place - 1]!.log.term) || (place < samples.length && log.term > samples[place]!.log.term);

	return {
		// A write is confirmed one replica lag after it was sent, and a barrier within one round trip. If samples older than the
		// newest were rejected, each barrier would discard the samples of all writes in progress, and ages would be overestimated by that much.
		add(log, at) {
			const place = findPlace(at);
			if (isContradicted(log, place) || isDominated(log, samples[place])) {
				return;
			}

			samples.splice(dropDominated(log, place), 0, {at, log});
			if (samples.length > MAX_SAMPLES) {
				samples.splice(findLeastUsefulSample(samples, samples.at(-1)!.at), 1);
			}
		},
		getHeldAt(log) {
			// A sample of an older term is not valid for a log of a newer one: with durability `primary` a promotion may have
			// dropped entries that the sample counted, which the position alone does not show.
			return samples.findLast(sample => sample.log.term === log.term && sample.log.position <= log.position)?.at;
		},
		get size() {
			return samples.length;
		},
	};
}
