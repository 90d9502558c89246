import type {SessionState, Statement} from '../statements/statement.js';
import type {AnswerCode} from '../statements/statement-answer.js';
import type {StatementResult} from './statement-result.js';

/** A request of a caller on its connection. */
export type CallerRequest =
	| {readonly kind: 'open'; readonly database: string; readonly key: string}
	| {readonly kind: 'statement'; readonly id: string; readonly statement: Statement}
	| {readonly kind: 'end'}
	| {readonly kind: 'malformed'}
	| {readonly kind: 'too-large'};

/** One caller's connection: its requests in order, with at most one answer to each. */
export type CallerChannel = {
	/** Name of the connection in log lines. */
	readonly name: string;
	/** Whether the caller ended the connection, or it broke. */
	readonly left: boolean;
	/** Whether a request has arrived that {@link next} has not returned yet. */
	readonly waiting: boolean;
	/** Resolves with the next request; undefined once the caller has left and every request was returned. */
	next(): Promise<CallerRequest | undefined>;
	/** Notifies the caller that the session is open. */
	greet(): void;
	/** Answers a statement. Resolves once the caller has read what was sent, so that a caller that does not read delays only itself. */
	answer(result: StatementResult, state: SessionState): Promise<void>;
	/**
	 * Sends the reason why the session ends, without a session state after it. A caller with nothing under way then leaves. A caller whose request is
	 * in transit takes it for the answer to that request, and waits for the state that follows.
	 */
	refuse(code: AnswerCode, reason: string): void;
	/** Sends the state that completes a refusal that was sent before its request was read. */
	endRefusal(state: SessionState): void;
	/** Ends the connection once everything sent has been written; requests that {@link next} has not returned by then are dropped. */
	close(): void;
};
