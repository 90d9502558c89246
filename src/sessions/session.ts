import {getLaterLogPosition, type LogPosition} from '../terms/log-position.js';

/**
 * The contents of a session token: for each group the log position of the session's last acknowledged write.
 * Hosts store nothing of a session; reads of a caller without a valid token wait for a barrier.
 */
export type Session = {
	/** Random id, for operators' queries. */
	readonly id: string;
	/** When the token was issued, milliseconds since the epoch. */
	readonly issuedAt: number;
	/** Floor of each group, oldest first: a floor that is raised moves to the end, see {@link withFloor}. */
	readonly floors: Readonly<Record<string, LogPosition>>;
	/** Whether floors were left out to bound the token; a read of a group without a floor then waits for a barrier. */
	readonly trimmed?: boolean;
};

/** Returns the floor that the session has for the group; undefined where it has none. The group may be named like a member that every object inherits. */
export function getOwnFloor({floors}: Session, group: string): LogPosition | undefined {
	return Object.hasOwn(floors, group) ? floors[group] : undefined;
}

/** Returns the session with the group's floor raised to `log` where that is later, and the group moved to the end as the newest. */
export function withFloor(session: Session, group: string, log: LogPosition): Session {
	const held = getOwnFloor(session, group);
	const {[group]: _, ...others} = session.floors;
	return {...session, floors: {...others, [group]: held ? getLaterLogPosition(held, log) : log}};
}

/** Creates, signs and verifies sessions. */
export type Sessions = {
	/** Creates a session without floors, issued at `wallMs` milliseconds since the epoch. */
	create(wallMs: number): Session;
	/** Encodes a session as a token, signed with the current key. */
	sign(session: Session): string;
	/** Decodes a token signed with any of the keys; returns undefined where the token is not valid. */
	verify(token: string): Session | undefined;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		sessions: Sessions;
	}
}
