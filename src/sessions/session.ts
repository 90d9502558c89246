import {getLaterLogPosition, type LogPosition} from '../terms/log-position.js';

/**
 * What a session token carries: for each group the log position of the session's last acknowledged write.
 * Nothing of a session is stored: a caller without a valid token is served from behind a barrier.
 */
export type Session = {
	/** Random id, for operators' questions. */
	readonly id: string;
	/** When the token was made, milliseconds since the epoch. */
	readonly issuedAt: number;
	/** Oldest first: a floor that is renewed moves to the end, see {@link withFloor}. */
	readonly floors: Readonly<Record<string, LogPosition>>;
	/** Some floors were left out to bound the token: a group without a floor is read from behind a barrier. */
	readonly trimmed?: boolean;
};

/** The session with the group's floor raised to `log`, and the group last in age. */
export function withFloor(session: Session, group: string, log: LogPosition): Session {
	const {[group]: held, ...others} = session.floors;
	return {...session, floors: {...others, [group]: held ? getLaterLogPosition(held, log) : log}};
}

/** Makes and checks session tokens. */
export type Sessions = {
	/** A new session without floors. */
	create(wallMs: number): Session;
	/** Signs a session with the current key. */
	sign(session: Session): string;
	/** Reads a token signed with the current or the previous key; undefined where it is none. */
	verify(token: string): Session | undefined;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		sessions: Sessions;
	}
}
