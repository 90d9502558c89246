import type {SessionLink} from './link-session.js';

/** Connections that nobody uses at the moment, in the order in which they became idle. */
export type IdleLinks = {
	readonly size: number;
	/** The one that became idle last and is still open. */
	readonly newest: SessionLink | undefined;
	add(sessionLink: SessionLink, now: number): void;
	/** Takes the newest one that has exactly these session values set, else the newest. */
	take(values: ReadonlyMap<string, string>): SessionLink | undefined;
	takeNewest(): SessionLink | undefined;
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
		take(values) {
			const matching = idle.findLastIndex(({sessionLink}) => sessionLink.matches(values));
			const at = matching === -1 ? idle.length - 1 : matching;
			return at === -1 ? undefined : idle.splice(at, 1)[0]!.sessionLink;
		},
		takeNewest: () => idle.pop()?.sessionLink,
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
