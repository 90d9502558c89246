import type {LogPosition} from '../terms/log-position.js';

/** Most samples kept; thinned so that the gaps between them grow with their age. */
export const MAX_SAMPLES = 128;

/** When the primary's confirmed position was no further than `log`. */
type Sample = {
	readonly at: number;
	readonly log: LogPosition;
};

/** Samples of the primary's confirmed position over time, from which the age of a replica's data follows. */
export type ConfirmedSamples = {
	/** Notes that at `at` nothing beyond `log` had been acknowledged; samples may come in any order of time. */
	add(log: LogPosition, at: number): void;
	/** The newest time at which everything acknowledged was within a log that ends at `log`, undefined where unknown. */
	getHeldAt(log: LogPosition): number | undefined;
	/** How many samples are kept. */
	readonly size: number;
};

/** Finds the sample between two others whose loss blurs an age least, relative to that age. */
function findDispensable(samples: readonly Sample[], now: number): number {
	let dispensable = 1;
	let least = Infinity;

	for (let i = 1; i < samples.length - 1; i++) {
		const gap = samples[i + 1]!.at - samples[i - 1]!.at;
		const loss = gap / (now - samples[i]!.at + 1);
		if (loss < least) {
			least = loss;
			dispensable = i;
		}
	}

	return dispensable;
}

/** Creates an empty set of samples. Dropping a sample only ever makes an age larger. */
export function createConfirmedSamples(): ConfirmedSamples {
	// Oldest first; time, term and, within a term, position all rise.
	const samples: Sample[] = [];

	/** Where a sample of that time belongs, so that times stay in order. */
	const findPlace = (at: number) => samples.findLastIndex(sample => sample.at <= at) + 1;

	const dropDominated = (log: LogPosition, place: number) => {
		// A later sample at the same or a lower position of the same term says more than the earlier one.
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
		// A write is confirmed a replica's lag after it was sent, and a barrier within one round. Were a sample older than
		// the newest refused, each barrier would cost the samples of all writes under way, and ages would look that much larger.
		add(log, at) {
			const place = findPlace(at);
			if (isContradicted(log, place) || isDominated(log, samples[place])) {
				return;
			}

			samples.splice(dropDominated(log, place), 0, {at, log});
			if (samples.length > MAX_SAMPLES) {
				samples.splice(findDispensable(samples, samples.at(-1)!.at), 1);
			}
		},
		getHeldAt(log) {
			// A sample of an older term says nothing of a log of a newer one: with durability `primary` a promotion
			// may have dropped what the sample counted, and the position alone would hide it.
			return samples.findLast(sample => sample.log.term === log.term && sample.log.position <= log.position)?.at;
		},
		get size() {
			return samples.length;
		},
	};
}
