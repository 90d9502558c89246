import type {LogPosition} from '../terms/log-position.js';
import type {Session} from './session.js';

/**
 * The sessions that made requests at this host recently, for operators' queries. Nothing else depends on it: a session is held in its
 * token, and one that is dropped here loses nothing.
 */
export type RecentSessions = {
	/** Records a request of a session. */
	note(request: SessionRequest): void;
	get(sessionId: string): RecentSession | undefined;
	/** Returns all recorded sessions, the one seen last first. */
	getAll(): readonly RecentSession[];
};

/** A session's request as the entry receives it. */
export type SessionRequest = {
	readonly session: Session;
	readonly group: string;
	readonly requestId: string;
	/** Time of the request by the wall clock, milliseconds since the epoch. */
	readonly at: number;
};

/** A session as of its last request. */
export type RecentSession = {
	readonly id: string;
	readonly group: string;
	readonly requestId: string;
	readonly seenAt: number;
	/** The session's floor for each group. */
	readonly floors: Readonly<Record<string, LogPosition>>;
};

/** Maximum number of sessions recorded by a host; they take 2 MB with floors of two groups each. */
export const MAX_RECENT_SESSIONS = 5000;

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		recentSessions: RecentSessions;
	}
}

/** Creates an empty record of at most `capacity` sessions; the one seen least recently is dropped first. */
export function createRecentSessions(capacity = MAX_RECENT_SESSIONS): RecentSessions {
	// A map iterates in insertion order; deleting and adding a session again moves it to the end.
	const sessions = new Map<string, RecentSession>();

	return {
		note({session, group, requestId, at}) {
			sessions.delete(session.id);
			sessions.set(session.id, {
				id: session.id, group, requestId, seenAt: at, floors: session.floors,
			});
			if (sessions.size > capacity) {
				const [oldest] = sessions.keys();
				sessions.delete(oldest!);
			}
		},
		get: sessionId => sessions.get(sessionId),
		getAll: () => [...sessions.values()].toReversed(),
	};
}
