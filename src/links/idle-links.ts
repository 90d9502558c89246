import type {SessionLink} from './link-session.js';

/** A connection that is not in use. */
export type IdleLink = {
	readonly sessionLink: SessionLink;
	/** Steady time at which it became idle. */
	readonly since: number;
};

/** The idle connections of a pool, in the order in which they became idle. */
export type IdleLinks = {
	readonly size: number;
	/** The connection that became idle last, out of those that are still open. */
	readonly newest: SessionLink | undefined;
	add(sessionLink: SessionLink, now: number): void;
	/** Returns whether there is a connection of the workspace. */
	has(workspace: string | undefined): boolean;
	/** Removes and returns the workspace's newest connection that has exactly these session values set, else its newest one. */
	take(values: ReadonlyMap<string, string>, workspace: string | undefined): SessionLink | undefined;
	/** The connections, the one that has been idle longest first. */
	readonly all: readonly IdleLink[];
	/** Removes a connection. */
	remove(link: IdleLink): void;
	takeAll(): readonly SessionLink[];
	/** Cuts the connections for which this returns true, and removes all closed ones. */
	cutWhere(isUnwanted: (sessionLink: SessionLink) => boolean): void;
};

/** Creates an empty list. */
export function createIdleLinks(): IdleLinks {
	let idle: IdleLink[] = [];

	return {
		get size() {
			return idle.length;
		},
		get newest() {
			return idle.findLast(({sessionLink}) => !sessionLink.link.closed)?.sessionLink;
		},
		add(sessionLink, now) {
			idle.push({sessionLink, since: now});
		},
		has: workspace => idle.some(({sessionLink}) => sessionLink.workspace === workspace),
		take(values, workspace) {
			const matching = idle.findLastIndex(({sessionLink}) => sessionLink.workspace === workspace && sessionLink.matches(values));
			const at = matching === -1 ? idle.findLastIndex(({sessionLink}) => sessionLink.workspace === workspace) : matching;
			return at === -1 ? undefined : idle.splice(at, 1)[0]!.sessionLink;
		},
		get all() {
			return idle;
		},
		remove(link) {
			idle = idle.filter(other => other !== link);
		},
		takeAll: () => idle.splice(0).map(({sessionLink}) => sessionLink),
		cutWhere(isUnwanted) {
			for (const {sessionLink} of idle) {
				if (!sessionLink.link.closed && isUnwanted(sessionLink)) {
					sessionLink.link.cut();
				}
			}

			idle = idle.filter(({sessionLink}) => !sessionLink.link.closed);
		},
	};
}
