import type {LogPosition} from '../terms/log-position.js';
import type {SessionState} from './statement.js';

/** Why a statement has no result, as endpoints report it and as callers receive it. */
export const AnswerCode = {
	/** Too much work is queued; the statement did not run. */
	Overloaded: 'overloaded',
	/** The transaction was rolled back; none of its changes are kept. */
	Aborted: 'aborted',
	/** The endpoint's log has not reached the requested position; the statement did not run. */
	Lagging: 'lagging',
	/** The endpoint is not the primary of its group; the statement did not run. */
	ReadOnly: 'read-only',
	/** A different endpoint answers at this address; nothing ran. */
	WrongEndpoint: 'wrong-endpoint',
	/** All of the endpoint's connections are in use; nothing ran. */
	TooManyConnections: 'too-many-connections',
	/** The statement ran and failed. */
	Failed: 'failed',
	/** The prepared name is unknown; nothing ran. */
	UnknownStatement: 'unknown-statement',
	/** The statement timed out; whether it took effect is not known. */
	TimedOut: 'timed-out',
	/** No route has the name of the database. */
	UnknownDatabase: 'unknown-database',
	/** The caller's key does not belong to a workspace, or no longer does. */
	Unauthenticated: 'unauthenticated',
	/** The workspace has used up its rate limit; nothing ran. */
	RateLimited: 'rate-limited',
	/** The message, what an endpoint or a pool host would receive for it, what it would add to its session, or the answer is over a size limit; nothing is kept. */
	TooLarge: 'too-large',
	/** The text cannot be parsed, or is not allowed in this state. */
	Malformed: 'malformed',
	/** A commit or a single write was sent, and its outcome is not known. */
	OutcomeUnknown: 'outcome-unknown',
} as const;

/** One of the codes in {@link AnswerCode}. */
export type AnswerCode = typeof AnswerCode[keyof typeof AnswerCode];

/** The end of an answer. */
export type AnswerEnd =
	/** `signature` is the endpoint's proof that it ran the statement; undefined where the proxy itself answered. */
	| {readonly kind: 'complete'; readonly signature?: string}
	/** `isOwn` is set where a proxy wrote the text, which then holds nothing of a caller; that of an endpoint may repeat a statement. */
	| {readonly kind: 'error'; readonly code: AnswerCode; readonly text: string; readonly isOwn?: true};

/** A whole answer of an endpoint to one statement. */
export type EndpointAnswer = {
	/** Data rows, each as the endpoint sent it. */
	readonly rows: readonly string[];
	readonly end: AnswerEnd;
	/** State of the connection after the statement. */
	readonly state: SessionState;
	/** End of the endpoint's log when it answered; undefined where it did not report it. */
	readonly position?: LogPosition;
	/** Predicted time until the endpoint holds the floor for which it refused a read as lagging, in milliseconds; undefined where none is predicted. */
	readonly reachedInMs?: number;
	/** Set where a proxy answered in place of the endpoint, so that the request took none of the endpoint's time as far as is known. */
	readonly unsent?: true;
	/** Set where a read was too large only with the log position that an endpoint must have reached: one that needs none would get it. */
	readonly fitsWithoutFloor?: true;
};

/** Whether the endpoint refused for overload; nothing ran then. */
export function isOverloaded({end}: EndpointAnswer): boolean {
	return end.kind === 'error' && end.code === AnswerCode.Overloaded;
}
