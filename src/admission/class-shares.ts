import type {GroupConfig, WorkClass} from '../groups/group-config.js';
import {WORK_CLASSES} from './class-queues.js';

/** How the slots' time is divided: each class's share, between 0 and 1. */
export type Shares = GroupConfig['classShares'];

/**
 * Divides an endpoint's slot time between the classes.
 *
 * Each class earns its share of all slot time that is used, as credit up to a bound, and pays with it. A class with credit
 * goes before one without, and the more urgent goes first among equals. So no class can be kept from its share by a more
 * urgent one, an urgent class within its share never waits for others, and what nobody has earned goes to the most urgent.
 */
export type ClassShares = {
	/** Picks the class that runs next among those with work; undefined where none has. */
	pick(hasWork: (workClass: WorkClass) => boolean): WorkClass | undefined;
	/** Notes that a class took a slot, expected to hold it for `expectedMs`; returns the claim to settle when it gives it back. */
	claim(workClass: WorkClass, expectedMs: number): SlotClaim;
	/** Notes how long the slot of a claim was held. */
	settle(claim: SlotClaim, heldMs: number): void;
	/** The class's share of the slots; shares that add up to more than 1 are scaled down. */
	getShare(workClass: WorkClass): number;
};

/** What a class paid in advance for a slot. */
export type SlotClaim = {
	readonly class: WorkClass;
	/** Zero where the class had no credit and took spare time. */
	readonly paidMs: number;
};

/** Most credit that a class keeps, in times that the longest class holds a slot: how long a burst may go before the others. */
const CREDIT_BOUND = 16;

/** How fast the longest time is forgotten, for each slot taken. */
const LONGEST_KEPT = 0.999;

/** Creates the division of an endpoint's slot time. */
export function createClassShares(shares: Shares): ClassShares {
	const sum = Math.max(1, shares.deadline + shares.interactive + shares.background);
	const credits: Record<WorkClass, number> = {deadline: 0, interactive: 0, background: 0};
	const getShare = (workClass: WorkClass) => shares[workClass] / sum;
	let longestMs = 0;

	return {
		getShare,
		pick(hasWork) {
			let spare: WorkClass | undefined;
			for (const workClass of WORK_CLASSES) {
				if (!hasWork(workClass)) {
					continue;
				}

				if (credits[workClass] > 0) {
					return workClass;
				}

				spare ??= workClass;
			}

			return spare;
		},
		claim(workClass, expectedMs) {
			longestMs = Math.max(expectedMs, longestMs * LONGEST_KEPT);
			const paidMs = credits[workClass] > 0 ? expectedMs : 0;
			credits[workClass] -= paidMs;
			return {class: workClass, paidMs};
		},
		settle(claim, heldMs) {
			if (claim.paidMs > 0) {
				credits[claim.class] += claim.paidMs - heldMs;
			}

			for (const workClass of WORK_CLASSES) {
				const earned = credits[workClass] + (getShare(workClass) * heldMs);
				credits[workClass] = Math.min(earned, CREDIT_BOUND * longestMs);
			}
		},
	};
}
