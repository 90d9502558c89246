import type {SessionLink} from './link-session.js';

/** The connections of a pool that are in use, by workspace. */
export type HeldLinks = {
	noteAcquired(sessionLink: SessionLink, single: boolean, now: number): void;
	/** Returns how the connection was held, for how long in milliseconds; undefined where it was not. */
	noteReleased(sessionLink: SessionLink, now: number): {readonly single: boolean; readonly heldMs: number} | undefined;
	/** Returns the number of the workspace's connections that are held by single statements. */
	countSingle(workspace: string | undefined): number;
	/**
	 * Returns the expected times until the workspace's held connections are released, in milliseconds, the soonest first. A connection that is held for longer than usual is expected
	 * to be held for as long again: slow statements take several times the usual time, and callers idle in transactions.
	 */
	getRemainingMs(workspace: string | undefined, getHeldMs: (single: boolean) => number, now: number): readonly number[];
};

type Held = {readonly single: boolean; readonly since: number};

/** Creates the list for a pool without connections. */
export function createHeldLinks(): HeldLinks {
	const held = new Map<string | undefined, Map<SessionLink, Held>>();

	return {
		noteAcquired(sessionLink, single, now) {
			const ofWorkspace = held.get(sessionLink.workspace) ?? new Map<SessionLink, Held>();
			ofWorkspace.set(sessionLink, {single, since: now});
			held.set(sessionLink.workspace, ofWorkspace);
		},
		noteReleased(sessionLink, now) {
			const ofWorkspace = held.get(sessionLink.workspace);
			const use = ofWorkspace?.get(sessionLink);
			ofWorkspace?.delete(sessionLink);
			if (ofWorkspace?.size === 0) {
				held.delete(sessionLink.workspace);
			}

			return use && {single: use.single, heldMs: now - use.since};
		},
		countSingle: workspace => [...held.get(workspace)?.values() ?? []].filter(({single}) => single).length,
		getRemainingMs(workspace, getHeldMs, now) {
			return [...held.get(workspace)?.values() ?? []].map(({single, since}) => {
				const heldMs = now - since;
				const usualMs = getHeldMs(single);
				return heldMs < usualMs ? usualMs - heldMs : heldMs;
			}).toSorted((left, right) => left - right);
		},
	};
}
