/** A replacement that a stopping host could begin. */
export type StopTurnRequest = {
	readonly group: string;
	/** Epoch of the group's record on which the decision is based. */
	readonly epoch: number;
	/** Whether any host could acquire the failover lease now. */
	readonly isLeaseFree: boolean;
	/** Steady time at which the host ends. */
	readonly endsAt: number;
};

/** Decides when a stopping host begins a replacement itself, since every other host is stopping as well or may not replace primaries. */
export type StopTurn = {
	/** Whether it is the host's turn at the steady time `now`, after the others have left the group alone for long enough. */
	isDue(req: StopTurnRequest, now: number): boolean;
};

/** Time within which another host begins a replacement if there is one that may, in milliseconds: its copy of the store is 700 ms old at most, and it tries every 400 ms. */
export const OTHERS_BEGIN_WITHIN_MS = 1500;

/** Time that a replacement takes at least, in milliseconds: a promotion of 1,000 and the revocation before it; one that would be interrupted by the host's end is not begun. */
const MIN_REPLACEMENT_MS = 1500;

/** Creates the decision for a host that has begun nothing since its order to stop. */
export function createStopTurn(): StopTurn {
	const firstAsked = new Map<string, {readonly epoch: number; readonly at: number}>();

	return {
		isDue({group, epoch, isLeaseFree, endsAt}, now) {
			if (!isLeaseFree) {
				firstAsked.delete(group);
				return false;
			}

			const known = firstAsked.get(group);
			const asked = known?.epoch === epoch ? known : {epoch, at: now};
			firstAsked.set(group, asked);
			return now - asked.at >= OTHERS_BEGIN_WITHIN_MS && now + MIN_REPLACEMENT_MS <= endsAt;
		},
	};
}
