import {AnswerCode} from '../statements/statement-answer.js';
import {SessionState} from '../statements/statement.js';

/** The platform's names for answer codes, both on callers' and on endpoints' connections. */
const CODE_NAMES: Readonly<Record<AnswerCode, string>> = {
	[AnswerCode.Overloaded]: 'BUSY',
	[AnswerCode.Aborted]: 'ABORTED',
	[AnswerCode.Lagging]: 'LAGGING',
	[AnswerCode.ReadOnly]: 'READONLY',
	[AnswerCode.WrongEndpoint]: 'WRONGNODE',
	[AnswerCode.TooManyConnections]: 'CONNLIMIT',
	[AnswerCode.Failed]: 'FAILED',
	[AnswerCode.UnknownStatement]: 'NOSUCHSTMT',
	[AnswerCode.TimedOut]: 'TIMEOUT',
	[AnswerCode.UnknownDatabase]: 'NOSUCHDB',
	[AnswerCode.Unauthenticated]: 'AUTHFAIL',
	// The platform has one name for every statement that did not run and may be retried.
	[AnswerCode.RateLimited]: 'BUSY',
	[AnswerCode.TooLarge]: 'TOOBIG',
	[AnswerCode.Malformed]: 'MALFORMED',
	[AnswerCode.OutcomeUnknown]: 'INDOUBT',
};

const CODES_BY_NAME = new Map(Object.entries(CODE_NAMES).toReversed().map(([code, name]) => [name, code as AnswerCode]));

const STATES_BY_LETTER = new Map<string, SessionState>([['I', SessionState.Idle], ['T', SessionState.Open], ['E', SessionState.Failed]]);

const STATE_LETTERS: Readonly<Record<SessionState, string>> = {
	[SessionState.Idle]: 'I',
	[SessionState.Open]: 'T',
	[SessionState.Failed]: 'E',
};

/** Formats an answer code under the platform's name. */
export function formatCode(code: AnswerCode): string {
	return CODE_NAMES[code];
}

/**
 * Parses an answer code. Of several codes with the same name it returns the first one. An unknown name counts as a statement that ran and failed,
 * since the proxy cannot promise that it did not run.
 */
export function parseCode(name: string): AnswerCode {
	return CODES_BY_NAME.get(name) ?? AnswerCode.Failed;
}

/** Formats a session state as the platform's letter. */
export function formatState(state: SessionState): string {
	return STATE_LETTERS[state];
}

/** Parses the letter of a session state; returns undefined if it is unknown. */
export function parseState(letter: string): SessionState | undefined {
	return STATES_BY_LETTER.get(letter);
}
