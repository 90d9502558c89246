import type {GroupConfig, WorkClass} from '../groups/group-config.js';
import {WORK_CLASSES} from './class-queues.js';

/** How the slots' time is divided: each class's share, between 0 and 1. */
export type Shares = GroupConfig['classShares'];

/**
 * Divides an endpoint's slot time between the classes.
 *
 * Each class earns its share of all slot time that is used, as credit up to a bound, and pays with it. A class with credit
 * goes before one without, the more urgent first among equals; so no class can be kept from its share by a more urgent one,
 * and what no class has earned goes to the most urgent.
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

/** Most credit that a class keeps, in times that a slot is held. */
const CREDIT_BOUND = 4;

/** Creates the division of an endpoint's slot time. */
export function createClassShares(shares: Shares): ClassShares {
	const sum = Math.max(1, shares.deadline + shares.interactive + shares.background);
	const credits: Record<WorkClass, number> = {deadline: 0, interactive: 0, background: 0};
	const getShare = (workClass: WorkClass) => shares[workClass] / sum;
	let longestMs = 0;

	const earn = (usedMs: number) => {
		for (const workClass of WORK_CLASSES) {
			credits[workClass] = Math.min(credits[workClass] + (getShare(workClass) * usedMs), CREDIT_BOUND * longestMs);
		}
	};

	return {
		getShare,
		pick(hasWork) {
			const waiting = WORK_CLASSES.filter(workClass => hasWork(workClass));
			return waiting.find(workClass => credits[workClass] > 0) ?? waiting[0];
		},
		claim(workClass, expectedMs) {
			longestMs = Math.max(expectedMs, longestMs * 0.999);
			const paidMs = credits[workClass] > 0 ? expectedMs : 0;
			credits[workClass] -= paidMs;
			return {class: workClass, paidMs};
		},
		settle(claim, heldMs) {
			if (claim.paidMs > 0) {
				credits[claim.class] += claim.paidMs - heldMs;
			}

			earn(heldMs);
		},
	};
}
