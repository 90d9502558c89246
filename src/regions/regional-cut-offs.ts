import type {CutOffs} from '../leadership/cut-offs.js';

/** What the cut-offs by regions need to know of a group at the steady time `now`. */
export type RegionalCutOffsOptions = {
	/** Returns whether the recorded primary of the group lies in a region that is lost. */
	isPrimaryLost(group: string): boolean;
	/** Returns whether this host has no lease of the primary and cannot get one, since a region is lost and its copy of the store is no longer confirmed. */
	isIsolated(group: string): boolean;
};

/**
 * Adds to the cut-offs of a host the groups whose primary it cannot use since the regions have lost each other. Guards against statements that wait for their
 * whole time for a primary that only the other region reaches: their callers would have no time left to try again there.
 */
export function createRegionalCutOffs(cutOffs: CutOffs, {isPrimaryLost, isIsolated}: RegionalCutOffsOptions): CutOffs {
	return {
		...cutOffs,
		isCutOff: (group, now) => cutOffs.isCutOff(group, now) || isPrimaryLost(group) || isIsolated(group),
	};
}
