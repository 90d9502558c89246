import type {LogPosition} from '../terms/log-position.js';
import type {Session} from './session.js';

/**
 * The sessions seen lately at this host, for operators' questions. Nothing rests on it: a session lives in its token,
 * and one that is forgotten here loses nothing.
 */
export type SessionSightings = {
	/** Notes a request of a session. */
	note(sighting: SessionRequest): void;
	get(sessionId: string): SessionSighting | undefined;
	/** Newest first. */
	getAll(): readonly SessionSighting[];
};

/** A session's request as the entry sees it. */
export type SessionRequest = {
	readonly session: Session;
	readonly group: string;
	readonly requestId: string;
	/** Milliseconds since the epoch, by the calendar. */
	readonly at: number;
};

/** A session as it was seen last. */
export type SessionSighting = {
	readonly id: string;
	readonly group: string;
	readonly requestId: string;
	readonly seenAt: number;
	/** For each group the session's floor. */
	readonly floors: Readonly<Record<string, LogPosition>>;
};

/** Sessions remembered by a host: 2 MB, measured with floors of two groups. */
export const MAX_SIGHTINGS = 5000;

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		sessionSightings: SessionSightings;
	}
}

/** Creates an empty record of at most `capacity` sessions; the one not seen for longest gives way. */
export function createSessionSightings(capacity = MAX_SIGHTINGS): SessionSightings {
	// A map keeps its keys in the order in which they were added, so a session seen again moves to the end.
	const sightings = new Map<string, SessionSighting>();

	return {
		note({session, group, requestId, at}) {
			sightings.delete(session.id);
			sightings.set(session.id, {
				id: session.id, group, requestId, seenAt: at, floors: session.floors,
			});
			if (sightings.size > capacity) {
				const [oldest] = sightings.keys();
				sightings.delete(oldest!);
			}
		},
		get: sessionId => sightings.get(sessionId),
		getAll: () => [...sightings.values()].toReversed(),
	};
}
