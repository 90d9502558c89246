/**
 * Divides slot time between classes of work.
 *
 * Each class earns credit for its share of all slot time that is used, up to a bound, and is charged for the time that it
 * uses. A class with credit runs before one without; of several with credit, or several without, the most urgent runs
 * first. So a more urgent class cannot keep another from its share, an urgent class within its share never waits for
 * others, and time that no class has credit for goes to the most urgent.
 */
export type SlotShares<Class> = {
	/** Returns the class that runs next among those with waiting requests; undefined where there is none. */
	pick(hasWork: (workClass: Class) => boolean): Class | undefined;
	/** Charges a class, if it has credit, for a slot that it is expected to hold for `expectedMs`; returns the reservation to complete on release. */
	reserve(workClass: Class, expectedMs: number): SlotReservation<Class>;
	/** Corrects the charge to the time for which the slot was held, and credits all classes with their shares of it. */
	complete(reservation: SlotReservation<Class>, heldMs: number): void;
	/** Returns the class's share of the slots; shares that add up to more than 1 are scaled down. */
	getShare(workClass: Class): number;
};

/** What a class was charged in advance for a slot. */
export type SlotReservation<Class> = {
	readonly class: Class;
	/** 0 where the class had no credit and got the slot because no other class with credit was waiting. */
	readonly chargedMs: number;
};

/** What a division of slot time depends on. */
export type SlotSharesOptions<Class> = {
	/** The classes, the most urgent first; classes may be added to the list later. */
	readonly classes: readonly Class[];
	/** Upper bound of a class's credit, in multiples of the longest expected hold time: how long a burst may run before the others. */
	readonly maxCreditHolds: number;
	/** Returns the share that a class asks for, between 0 and 1. */
	getShare(workClass: Class): number;
};

/** Factor by which the longest expected hold time decays with each slot taken. */
const MAX_HOLD_DECAY = 0.999;

/** Creates a division in which no class has credit. */
export function createSlotShares<Class>({classes, maxCreditHolds, getShare: getAskedShare}: SlotSharesOptions<Class>): SlotShares<Class> {
	const credits = new Map<Class, number>();
	let maxHoldMs = 0;

	const getCredit = (workClass: Class) => credits.get(workClass) ?? 0;

	const getShare = (workClass: Class) => {
		let sum = 0;
		for (const other of classes) {
			sum += getAskedShare(other);
		}

		return getAskedShare(workClass) / Math.max(1, sum);
	};

	return {
		getShare,
		pick(hasWork) {
			let withoutCredit: Class | undefined;
			for (const workClass of classes) {
				if (!hasWork(workClass)) {
					continue;
				}

				if (getCredit(workClass) > 0) {
					return workClass;
				}

				withoutCredit ??= workClass;
			}

			return withoutCredit;
		},
		reserve(workClass, expectedMs) {
			maxHoldMs = Math.max(expectedMs, maxHoldMs * MAX_HOLD_DECAY);
			const chargedMs = getCredit(workClass) > 0 ? expectedMs : 0;
			credits.set(workClass, getCredit(workClass) - chargedMs);
			return {class: workClass, chargedMs};
		},
		complete({class: charged, chargedMs}, heldMs) {
			if (chargedMs > 0) {
				credits.set(charged, getCredit(charged) + chargedMs - heldMs);
			}

			for (const workClass of classes) {
				const earned = getCredit(workClass) + (getShare(workClass) * heldMs);
				credits.set(workClass, Math.min(earned, maxCreditHolds * maxHoldMs));
			}
		},
	};
}
