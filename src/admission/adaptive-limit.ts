import type {WorkClass} from '../groups/group-config.js';
import type {ConcurrencyLimit, SlotSample} from './concurrency-limit.js';

/** Most statements that may run for each slot: the surplus keeps the slots busy while answers are under way. */
const MOST_PER_SLOT = 1.25;

/** Statements whose times are judged together. */
const WINDOW_SAMPLES = 64;

/** How far above the base times may lie before they count as waiting at the server. */
const TOLERANCE = 1.25;

/** What is tried beyond what the times allow, in statements, so that the limit grows back when others leave. */
const HEADROOM = 0.4;

/** Weight of the newest window. */
const WINDOW_WEIGHT = 0.3;

/** Weight of a window that is faster than the base. */
const BASE_FALL = 0.25;

/** Weight of a window that is slower than the base, while this owner holds back already: then the server is slow, not crowded. */
const BASE_RISE = 0.1;

/**
 * Moves the limit by what statements' times show, between this owner's part of the server's slots and all of them.
 *
 * Several owners share a server and do not see each other's work. When each sends as many statements as the server has
 * slots, they queue at the server, where no class goes first: filings wait behind reconciliation. Times well above the
 * base show that queue; each owner then takes its limit back in proportion, which brings the owners to equal parts.
 */
export class AdaptiveLimit implements ConcurrencyLimit {
	readonly #most: number;
	readonly #least: number;
	readonly #classes: Record<WorkClass, ClassTimes> = {deadline: createTimes(), interactive: createTimes(), background: createTimes()};
	#exactLimit: number;
	#samples = 0;

	/**
	 * @param slots Statements that the server runs at once.
	 * @param owners How many hosts send it statements.
	 */
	constructor(slots: number, owners: number) {
		this.#most = Math.ceil(slots * MOST_PER_SLOT);
		this.#least = Math.ceil(slots * MOST_PER_SLOT / owners);
		this.#exactLimit = this.#least;
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
		let baseMs = 0;
		let seenMs = 0;
		for (const times of Object.values(this.#classes)) {
			this.#moveBase(times);
			baseMs += times.baseMs * times.samples;
			seenMs += times.sumMs;
			times.sumMs = 0;
			times.samples = 0;
		}

		this.#samples = 0;
		const gradient = Math.min(1, Math.max(0.5, TOLERANCE * baseMs / seenMs));
		const target = (this.#exactLimit * gradient) + HEADROOM;
		const moved = this.#exactLimit + (WINDOW_WEIGHT * (target - this.#exactLimit));
		this.#exactLimit = Math.min(this.#most, Math.max(this.#least, moved));
	}

	#moveBase(times: ClassTimes): void {
		if (times.samples === 0) {
			return;
		}

		const meanMs = times.sumMs / times.samples;
		const isHoldingBack = this.limit === this.#least;
		const weight = meanMs < times.baseMs ? BASE_FALL : (isHoldingBack ? BASE_RISE : 0);
		times.baseMs = times.baseMs === 0
			? meanMs
			: times.baseMs + (weight * (times.samples / WINDOW_SAMPLES) * (meanMs - times.baseMs));
	}
}

type ClassTimes = {
	/** What statements of the class take when nothing waits at the server. */
	baseMs: number;
	sumMs: number;
	samples: number;
};

function createTimes(): ClassTimes {
	return {baseMs: 0, sumMs: 0, samples: 0};
}
