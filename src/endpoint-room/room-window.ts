import {createCongestionWindow, type CongestionWindow} from '../links/congestion-window.js';

/** What a window depends on. */
export type RoomWindowOptions = {
	/** Returns this host's share of the endpoint's budget; Infinity where there is none. */
	getLimit(): number;
	/** Called after each answer of the endpoint. */
	onServed(): void;
};

/**
 * The window of a pool that has a share of the endpoint's concurrency budget. It shrinks further while the endpoint rejects statements, as it does without a budget: hosts whose lists
 * differ may exceed the budget together.
 */
export class RoomWindow implements CongestionWindow {
	readonly #options: RoomWindowOptions;
	readonly #reactive = createCongestionWindow();

	constructor(options: RoomWindowOptions) {
		this.#options = options;
	}

	get size() {
		return Math.max(1, Math.min(this.#options.getLimit(), this.#reactive.size));
	}

	noteServed() {
		this.#reactive.noteServed();
		this.#options.onServed();
	}

	noteRejected(inFlight: number, now: number) {
		this.#reactive.noteRejected(inFlight, now);
		this.#options.onServed();
	}
}
