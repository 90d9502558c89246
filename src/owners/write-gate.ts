import {setMaxListeners} from 'node:events';
import type {Clock} from '../time/clock.js';

/** Holds new writes back while a planned change of primary is under way, and counts those that run. */
export type WriteGate = {
	/** Waits for the gate to be open and enters; false where it stayed closed until `deadlineAt`. */
	enter(deadlineAt: number): Promise<boolean>;
	/** Leaves after {@link enter}. */
	leave(): void;
	/** Closes the gate for `ms` at most and waits for those inside; rejects none. The returned call opens it again. */
	hold(ms: number): Promise<() => void>;
	readonly inside: number;
};

/** Pause between looks at those still inside, in milliseconds. */
const LOOK_MS = 5;

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
			// The hold ends by itself: a holder that died must not stall filings.
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
				await clock.sleep(LOOK_MS);
			}

			return () => {
				open(by);
			};
		},
	};
}

/** Aborted when the gate opens; any number of writes may wait for it. */
function createOpening(): AbortController {
	const opening = new AbortController();
	setMaxListeners(0, opening.signal);
	return opening;
}
