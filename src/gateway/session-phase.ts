/** What a session is doing. */
export const SessionPhase = {
	/** Its caller has not named a database yet, or waits for the answer to that. */
	Opening: 'opening',
	Idle: 'idle',
	/** A statement has no answer yet. */
	Busy: 'busy',
	/** A transaction is open and no statement is under way. */
	Resting: 'resting',
} as const;

/** One of the phases in {@link SessionPhase}. */
export type SessionPhase = typeof SessionPhase[keyof typeof SessionPhase];
