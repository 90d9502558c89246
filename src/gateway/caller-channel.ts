import type {SessionState, Statement} from '../statements/statement.js';
import type {AnswerCode} from '../statements/statement-answer.js';
import type {StatementResult} from './statement-result.js';

/** What a caller sends on its connection. */
export type CallerRequest =
	| {readonly kind: 'open'; readonly database: string; readonly key: string}
	| {readonly kind: 'statement'; readonly id: string; readonly statement: Statement}
	| {readonly kind: 'end'}
	| {readonly kind: 'malformed'}
	| {readonly kind: 'too-large'};

/** One caller's connection: its requests in order, each with at most one answer. */
export type CallerChannel = {
	/** Names the connection in log lines. */
	readonly name: string;
	/** The caller ended the connection, or it broke. */
	readonly left: boolean;
	/** A request came that was not taken yet. */
	readonly waiting: boolean;
	/** The next request; undefined once the caller has left and all was taken. */
	next(): Promise<CallerRequest | undefined>;
	/** Says that the session is open. */
	greet(): void;
	/** Answers a statement; resolves once the caller has taken in what was sent, so that one who does not read holds up only itself. */
	answer(result: StatementResult, state: SessionState): Promise<void>;
	/**
	 * Says why the session ends, without a session state behind it. A caller that has nothing under way leaves upon it; one whose request is on its
	 * way takes it for the answer to that, and waits for the state behind it.
	 */
	refuse(code: AnswerCode, reason: string): void;
	/** Puts the state behind a refusal that went out before its request was read. */
	endRefusal(state: SessionState): void;
	/** Ends the connection after what was sent has gone out; requests that were not taken by then are never given out. */
	close(): void;
};
