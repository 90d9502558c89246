import type {GroupConfig, WorkClass} from '../groups/group-config.js';
import {WORK_CLASSES} from './class-queues.js';

/** Each class's share of the slot time, between 0 and 1. */
export type Shares = GroupConfig['classShares'];

/**
 * Divides an endpoint's slot time between the classes.
 *
 * Each class earns credit for its share of all slot time that is used, up to a bound, and is charged for the time that it
 * uses. A class with credit runs before one without; of several with credit, or several without, the most urgent runs
 * first. So a more urgent class cannot keep another from its share, an urgent class within its share never waits for
 * others, and time that no class has credit for goes to the most urgent.
 */
export type ClassShares = {
	/** Returns the class that runs next among those with waiting requests; undefined where there is none. */
	pick(hasWork: (workClass: WorkClass) => boolean): WorkClass | undefined;
	/** Charges a class, if it has credit, for a slot that it is expected to hold for `expectedMs`; returns the reservation to complete on release. */
	reserve(workClass: WorkClass, expectedMs: number): SlotReservation;
	/** Corrects the charge to the time for which the slot was held, and credits all classes with their shares of it. */
	complete(reservation: SlotReservation, heldMs: number): void;
	/** Returns the class's share of the slots; shares that add up to more than 1 are scaled down. */
	getShare(workClass: WorkClass): number;
};

/** What a class was charged in advance for a slot. */
export type SlotReservation = {
	readonly class: WorkClass;
	/** 0 where the class had no credit and got the slot because no other class with credit was waiting. */
	readonly chargedMs: number;
};

/** Upper bound of a class's credit, in multiples of the longest expected hold time: how long a burst may run before the others. */
const MAX_CREDIT_HOLDS = 16;

/** Factor by which the longest expected hold time decays with each slot taken. */
const MAX_HOLD_DECAY = 0.999;

/** Creates the division of an endpoint's slot time. */
export function createClassShares(shares: Shares): ClassShares {
	const sum = Math.max(1, shares.deadline + shares.interactive + shares.background);
	const credits: Record<WorkClass, number> = {deadline: 0, interactive: 0, background: 0};
	const getShare = (workClass: WorkClass) => shares[workClass] / sum;
	let maxHoldMs = 0;

	return {
		getShare,
		pick(hasWork) {
			let withoutCredit: WorkClass | undefined;
			for (const workClass of WORK_CLASSES) {
				if (!hasWork(workClass)) {
					continue;
				}

				if (credits[workClass] > 0) {
					return workClass;
				}

				withoutCredit ??= workClass;
			}

			return withoutCredit;
		},
		reserve(workClass, expectedMs) {
			maxHoldMs = Math.max(expectedMs, maxHoldMs * MAX_HOLD_DECAY);
			const chargedMs = credits[workClass] > 0 ? expectedMs : 0;
			credits[workClass] -= chargedMs;
			return {class: workClass, chargedMs};
		},
		complete(reservation, heldMs) {
			if (reservation.chargedMs > 0) {
				credits[reservation.class] += reservation.chargedMs - heldMs;
			}

			for (const workClass of WORK_CLASSES) {
				const earned = credits[workClass] + (getShare(workClass) * heldMs);
				credits[workClass] = Math.min(earned, MAX_CREDIT_HOLDS * maxHoldMs);
			}
		},
	};
}
