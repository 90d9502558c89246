import {LOG_START, type LogPosition} from '../terms/log-position.js';
import {
	getOwnFloor, withFloor, type Session, type Sessions,
} from '../sessions/session.js';

/** Header value of a caller that starts a session and has written nothing before. */
export const NEW_SESSION = 'new';

/** The parsed `aldercroft-session` header. */
export type SessionHeader =
	/** No token: the caller's earlier writes are unknown. */
	| {readonly kind: 'none'; readonly session: Session}
	/** A token, or several of one caller merged, or {@link NEW_SESSION}. */
	| {readonly kind: 'known'; readonly session: Session; /** The header's only token, which is equivalent to `session`. */ readonly token?: string}
	/** A token that no proxy of this system signed. */
	| {readonly kind: 'bad'; readonly session: Session};

/** Parses the header; several tokens, separated by commas, are merged into one session with the highest floors. */
export function readSessionHeader(header: string | undefined, sessions: Sessions, wallMs: number): SessionHeader {
	if (header === undefined || header === '') {
		return {kind: 'none', session: {...sessions.create(wallMs), trimmed: true}};
	}

	if (header === NEW_SESSION) {
		return {kind: 'known', session: sessions.create(wallMs)};
	}

	const read = header.split(',').map(token => sessions.verify(token.trim()));
	const [first, ...others] = read.filter(session => session !== undefined);
	if (!first || others.length + 1 < read.length) {
		return {kind: 'bad', session: sessions.create(wallMs)};
	}

	let session = first;
	for (const other of others) {
		session = mergeSessions(session, other);
	}

	return {kind: 'known', session, token: others.length === 0 ? header.trim() : undefined};
}

/**
 * Returns the floor below which the session may not read; undefined where the read needs a barrier.
 *
 * Guards against a stale read by a caller that lost its token: its writes are then unknown, and one of them would seem
 * to have vanished. A barrier covers every write acknowledged before it, by any caller.
 */
export function getFloor(session: Session, group: string): LogPosition | undefined {
	return getOwnFloor(session, group) ?? (session.trimmed ? undefined : LOG_START);
}

/** Returns the session with the group's floor raised to an acknowledged write. */
export function raiseFloor(session: Session, group: string, log: LogPosition, wallMs: number): Session {
	return {...withFloor(session, group, log), issuedAt: wallMs};
}

function mergeSessions(left: Session, right: Session): Session {
	let merged: Session = {...left, trimmed: Boolean(left.trimmed) || Boolean(right.trimmed)};
	for (const [group, floor] of Object.entries(right.floors)) {
		merged = raiseFloor(merged, group, floor, Math.max(left.issuedAt, right.issuedAt));
	}

	return merged;
}
