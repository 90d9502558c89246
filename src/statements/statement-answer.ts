import type {LogPosition} from '../terms/log-position.js';
import type {SessionState} from './statement.js';

/** Why a statement brought no result, as endpoints say it and as callers are told. */
export const AnswerCode = {
	/** Too much work waits; the statement did not run. */
	Overloaded: 'overloaded',
	/** The transaction was rolled back; nothing of it is kept. */
	Aborted: 'aborted',
	/** The log does not hold the position asked for; the statement did not run. */
	Lagging: 'lagging',
	/** The endpoint does not lead its group; the statement did not run. */
	ReadOnly: 'read-only',
	/** Another endpoint answers at this address; nothing ran. */
	WrongEndpoint: 'wrong-endpoint',
	/** The endpoint's connections are all taken; nothing ran. */
	TooManyConnections: 'too-many-connections',
	/** The statement ran and failed. */
	Failed: 'failed',
	/** The prepared name is unknown; nothing ran. */
	UnknownStatement: 'unknown-statement',
	/** The statement ran out of time; whether it took effect is not known. */
	TimedOut: 'timed-out',
	/** No route has the database's name. */
	UnknownDatabase: 'unknown-database',
	/** The caller's key is none of a workspace, or no longer. */
	Unauthenticated: 'unauthenticated',
	/** The workspace has used up its rate limit; nothing ran. */
	RateLimited: 'rate-limited',
	/** A message over the size limit. */
	TooLarge: 'too-large',
	/** The text is none that is understood, or not in this state. */
	Malformed: 'malformed',
	/** A commit or a single write was sent and its outcome is not known. */
	OutcomeUnknown: 'outcome-unknown',
} as const;

/** One of the codes in {@link AnswerCode}. */
export type AnswerCode = typeof AnswerCode[keyof typeof AnswerCode];

/** How an answer ends. */
export type AnswerEnd =
	/** `signature` is the endpoint's mark that it ran the statement; undefined where the proxy answered itself. */
	| {readonly kind: 'complete'; readonly signature?: string}
	| {readonly kind: 'error'; readonly code: AnswerCode; readonly text: string};

/** A whole answer of an endpoint to one statement. */
export type EndpointAnswer = {
	/** Data rows, each as the endpoint sent it. */
	readonly rows: readonly string[];
	readonly end: AnswerEnd;
	/** State of the connection after the statement. */
	readonly state: SessionState;
	/** End of the endpoint's log when it answered; undefined where it did not say. */
	readonly position?: LogPosition;
};

/** Whether the endpoint ran nothing since too much work waits there. */
export function isTurnedAway({end}: EndpointAnswer): boolean {
	return end.kind === 'error' && end.code === AnswerCode.Overloaded;
}
