/** Groups whose primary this host cannot reach while other hosts can. */
export type CutOffs = {
	/** Notes at the steady time `now` that it is so. */
	note(group: string, now: number): void;
	/** Notes that the primary was heard again. */
	clear(group: string): void;
	/** Whether work for the primary is hopeless here at `now`, and would be served at another host. */
	isCutOff(group: string, now: number): boolean;
};

/** How long a finding holds, in milliseconds: the hosts are asked again about twice in that time while the primary stays silent. */
const HOLDS_MS = 1000;

/** Creates an empty set. */
export function createCutOffs(): CutOffs {
	const until = new Map<string, number>();

	return {
		note(group, now) {
			until.set(group, now + HOLDS_MS);
		},
		clear(group) {
			until.delete(group);
		},
		isCutOff: (group, now) => now < (until.get(group) ?? 0),
	};
}
