import type {SessionLink} from './link-session.js';

/** Connections that nobody uses at the moment, in the order in which they became idle. */
export type IdleLinks = {
	readonly size: number;
	/** The one that became idle last and is still open. */
	readonly newest: SessionLink | undefined;
	add(sessionLink: SessionLink, now: number): void;
	/** Whether one of the workspace is there. */
	has(workspace: string | undefined): boolean;
	/** Takes the newest of the workspace that has exactly these session values set, else its newest. */
	take(values: ReadonlyMap<string, string>, workspace: string | undefined): SessionLink | undefined;
	/** Takes the one that has been idle longest of all that belong to another workspace. */
	takeOldestOfOthers(workspace: string | undefined): SessionLink | undefined;
	/** Takes the oldest one where it became idle before the steady time `before`. */
	takeOldest(before: number): SessionLink | undefined;
	takeAll(): readonly SessionLink[];
	/** Cuts those of which this is true, and forgets all that have closed. */
	cutWhere(isUnwanted: (sessionLink: SessionLink) => boolean): void;
};

type Idle = {
	readonly sessionLink: SessionLink;
	readonly since: number;
};

/** Creates an empty set. */
export function createIdleLinks(): IdleLinks {
	let idle: Idle[] = [];

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
		takeOldestOfOthers(workspace) {
			const at = idle.findIndex(({sessionLink}) => sessionLink.workspace !== workspace);
			return at === -1 ? undefined : idle.splice(at, 1)[0]!.sessionLink;
		},
		takeOldest: before => idle[0] && idle[0].since < before ? idle.shift()!.sessionLink : undefined,
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
