/** A decaying record of the slot time that each owner has used. */
export type SlotUsage<Owner> = {
	/** Adds slot time in milliseconds; a negative time corrects an earlier one. */
	add(owner: Owner, ms: number, now: number): void;
	/** Returns the slot time of the owner in milliseconds; what lies the time constant back counts 1/e. */
	get(owner: Owner, now: number): number;
	/** Returns the slot time that the owner uses in each millisecond, smoothed over the time constant. */
	getRate(owner: Owner, now: number): number;
	/** Returns a figure that orders owners by their slot time at one moment, without the cost of the decay. */
	getRank(owner: Owner): number;
};

/** Time constant of the decay, in milliseconds: after a surge the shares of others are back to normal within a second. */
export const USAGE_DECAY_MS = 1000;

/** Decay times after which the stored figures are scaled down; e to the power of 700 is the largest that a number holds. */
const MAX_DECAY_TIMES = 200;

/** Part of a millisecond below which an owner's slot time is dropped. */
const NEGLIGIBLE_MS = 0.01;

/**
 * Creates an empty record.
 *
 * Stored figures are scaled up by the growth that the decay of all others amounts to, so that one addition touches one owner only.
 */
export function createSlotUsage<Owner>(): SlotUsage<Owner> {
	const ranks = new Map<Owner, number>();
	let baseAt: number | undefined;

	const getScale = (now: number) => Math.exp((now - (baseAt ?? now)) / USAGE_DECAY_MS);

	const rebase = (now: number) => {
		const scale = getScale(now);
		baseAt = now;
		for (const [owner, rank] of ranks) {
			if (rank / scale > NEGLIGIBLE_MS) {
				ranks.set(owner, rank / scale);
			} else {
				ranks.delete(owner);
			}
		}
	};

	const get = (owner: Owner, now: number) => (ranks.get(owner) ?? 0) / getScale(now);

	return {
		get,
		getRate: (owner, now) => get(owner, now) / USAGE_DECAY_MS,
		add(owner, ms, now) {
			baseAt ??= now;
			if (now - baseAt > MAX_DECAY_TIMES * USAGE_DECAY_MS) {
				rebase(now);
			}

			ranks.set(owner, Math.max(0, (ranks.get(owner) ?? 0) + (ms * getScale(now))));
		},
		getRank: owner => ranks.get(owner) ?? 0,
	};
}
