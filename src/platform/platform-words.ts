import {AnswerCode} from '../statements/statement-answer.js';
import {SessionState} from '../statements/statement.js';

/** The platform's words for answer codes, on the wire of callers and of endpoints alike. */
const CODE_WORDS: Readonly<Record<AnswerCode, string>> = {
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
	// The platform has one word for all that did not run and may come back.
	[AnswerCode.RateLimited]: 'BUSY',
	[AnswerCode.TooLarge]: 'TOOBIG',
	[AnswerCode.Malformed]: 'MALFORMED',
	[AnswerCode.OutcomeUnknown]: 'INDOUBT',
};

const CODES_BY_WORD = new Map(Object.entries(CODE_WORDS).toReversed().map(([code, word]) => [word, code as AnswerCode]));

const STATES_BY_LETTER = new Map<string, SessionState>([['I', SessionState.Idle], ['T', SessionState.Open], ['E', SessionState.Failed]]);

const STATE_LETTERS: Readonly<Record<SessionState, string>> = {
	[SessionState.Idle]: 'I',
	[SessionState.Open]: 'T',
	[SessionState.Failed]: 'E',
};

/** Names a code as the platform does. */
export function formatCode(code: AnswerCode): string {
	return CODE_WORDS[code];
}

/** Reads a code, the first of those that share a word; a word that is not known counts as a statement that ran and failed, since nothing may be promised of it. */
export function parseCode(word: string): AnswerCode {
	return CODES_BY_WORD.get(word) ?? AnswerCode.Failed;
}

/** Names a state as the platform does. */
export function formatState(state: SessionState): string {
	return STATE_LETTERS[state];
}

/** Reads a state, undefined where the letter is unknown. */
export function parseState(letter: string): SessionState | undefined {
	return STATES_BY_LETTER.get(letter);
}
