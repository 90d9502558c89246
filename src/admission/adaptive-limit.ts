import type {WorkClass} from '../groups/group-config.js';
import type {ConcurrencyLimit, SlotSample} from './concurrency-limit.js';

/** Upper bound of running statements for each slot: the surplus keeps the slots busy while responses are in transit. */
const MAX_STATEMENTS_PER_SLOT = 1.25;

/** Statements whose times are evaluated together. */
const WINDOW_SAMPLES = 64;

/** Ratio of measured times to the baseline above which statements are taken to queue at the server. */
const QUEUEING_TOLERANCE = 1.25;

/** Statements added to the limit that the times allow, so that it grows again when other owners send less. */
const GROWTH_STATEMENTS = 0.4;

/** Weight of the newest window. */
const WINDOW_WEIGHT = 0.3;

/** Weight of a window that is faster than the baseline. */
const BASELINE_DECREASE_WEIGHT = 0.25;

/** Weight of a window that is slower than the baseline while the limit is at its minimum: then the server itself is slow, not overloaded. */
const BASELINE_INCREASE_WEIGHT = 0.1;

/**
 * Adapts the limit to measured statement times, between this owner's equal share of the server's slots and all of them.
 *
 * Several owners share a server and do not see each other's statements. When each sends as many statements as the server
 * has slots, they queue at the server, which does not order them by class: urgent statements wait behind background ones.
 * Times well above the baseline show that queue. Each owner then lowers its limit in proportion, so that the owners
 * converge to equal shares.
 */
export class AdaptiveLimit implements ConcurrencyLimit {
	readonly #maxLimit: number;
	readonly #minLimit: number;
	readonly #classes: Record<WorkClass, ClassTimes> = {deadline: createTimes(), interactive: createTimes(), background: createTimes()};
	#exactLimit: number;
	#samples = 0;

	/**
	 * @param slots Statements that the server runs at once.
	 * @param owners Number of hosts that send it statements.
	 */
	constructor(slots: number, owners: number) {
		this.#maxLimit = Math.ceil(slots * MAX_STATEMENTS_PER_SLOT);
		this.#minLimit = Math.ceil(slots * MAX_STATEMENTS_PER_SLOT / owners);
		this.#exactLimit = this.#minLimit;
	}

	get limit(): number {
		return Math.round(this.#exactLimit);
	}

	observe({class: workClass, heldMs, served}: SlotSample): void {
		if (!served) {
			return;
		}

		const times = this.#classes[workClass];
		times.sumMs += heldMs;
		times.samples++;
		this.#samples++;
		if (this.#samples === WINDOW_SAMPLES) {
			this.#closeWindow();
		}
	}

	#closeWindow(): void {
		let expectedMs = 0;
		let measuredMs = 0;
		for (const times of Object.values(this.#classes)) {
			this.#updateBaseline(times);
			expectedMs += times.baselineMs * times.samples;
			measuredMs += times.sumMs;
			times.sumMs = 0;
			times.samples = 0;
		}

		this.#samples = 0;
		const gradient = Math.min(1, Math.max(0.5, QUEUEING_TOLERANCE * expectedMs / measuredMs));
		const target = (this.#exactLimit * gradient) + GROWTH_STATEMENTS;
		const smoothed = this.#exactLimit + (WINDOW_WEIGHT * (target - this.#exactLimit));
		this.#exactLimit = Math.min(this.#maxLimit, Math.max(this.#minLimit, smoothed));
	}

	#updateBaseline(times: ClassTimes): void {
		if (times.samples === 0) {
			return;
		}

		const meanMs = times.sumMs / times.samples;
		const isAtMinimum = this.limit === this.#minLimit;
		const weight = meanMs < times.baselineMs ? BASELINE_DECREASE_WEIGHT : (isAtMinimum ? BASELINE_INCREASE_WEIGHT : 0);
		times.baselineMs = times.baselineMs === 0
			? meanMs
			: times.baselineMs + (weight * (times.samples / WINDOW_SAMPLES) * (meanMs - times.baselineMs));
	}
}

type ClassTimes = {
	/** Mean time of the class's statements while none queues at the server, in milliseconds; 0 before the first window. */
	baselineMs: number;
	sumMs: number;
	samples: number;
};

function createTimes(): ClassTimes {
	return {baselineMs: 0, sumMs: 0, samples: 0};
}
