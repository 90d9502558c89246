import {setMaxListeners} from 'node:events';
import type {Clock} from '../time/clock.js';

/** Holds back new writes during a planned change of primary, and counts the writes that run. */
export type WriteGate = {
	/** Waits until the gate is open and enters; resolves with false if it stays closed until `deadlineAt`. */
	enter(deadlineAt: number): Promise<boolean>;
	/** Leaves after {@link enter}. */
	leave(): void;
	/**
	 * Closes the gate for at most `ms` and resolves once no write is inside or that time has passed; no write is rejected.
	 * The returned function opens the gate again, unless a later hold has closed it.
	 */
	hold(ms: number): Promise<() => void>;
	readonly inside: number;
};

/** Time between checks of the writes still inside, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** Creates an open gate. */
export function createWriteGate(clock: Clock): WriteGate {
	let inside = 0;
	let heldUntil = 0;
	let holder = 0;
	let opened = createOpening();

	const open = (by: number) => {
		if (by === holder) {
			heldUntil = 0;
			opened.abort();
			opened = createOpening();
		}
	};

	return {
		get inside() {
			return inside;
		},
		async enter(deadlineAt) {
			// The hold expires by itself, since a holder that crashed must not stall writes.
			for (let now = clock.now(); now < heldUntil; now = clock.now()) {
				if (now >= deadlineAt) {
					return false;
				}

				await clock.sleep(Math.min(heldUntil, deadlineAt) - now, opened.signal);
			}

			inside++;
			return true;
		},
		leave() {
			inside--;
		},
		async hold(ms) {
			const by = ++holder;
			const until = clock.now() + ms;
			heldUntil = until;
			while (inside > 0 && clock.now() < until) {
				await clock.sleep(POLL_INTERVAL_MS);
			}

			return () => {
				open(by);
			};
		},
	};
}

/** Creates a signal that is aborted when the gate opens; any number of writes may wait for it. */
function createOpening(): AbortController {
	const opening = new AbortController();
	setMaxListeners(0, opening.signal);
	return opening;
}
