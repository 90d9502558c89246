/** Groups whose primary this host cannot reach while other hosts can. */
export type CutOffs = {
	/** Records that the group's primary is cut off from this host at the steady time `now`. */
	note(group: string, now: number): void;
	/** Records that the primary has responded again. */
	clear(group: string): void;
	/** Whether work for the primary cannot be served here at `now`, but could be at another host. */
	isCutOff(group: string, now: number): boolean;
};

/** Time for which a cut-off counts after it was last recorded, in milliseconds: the hosts are asked about twice in that time while the primary stays silent. */
const CUT_OFF_TTL_MS = 1000;

/** Creates an empty set. */
export function createCutOffs(): CutOffs {
	const until = new Map<string, number>();

	return {
		note(group, now) {
			until.set(group, now + CUT_OFF_TTL_MS);
		},
		clear(group) {
			until.delete(group);
		},
		isCutOff: (group, now) => now < (until.get(group) ?? 0),
	};
}
