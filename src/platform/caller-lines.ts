import {
	Access, type IdentifiedStatement, type SessionState, type Statement,
} from '../statements/statement.js';
import type {AnswerEnd} from '../statements/statement-answer.js';
import type {LogPosition} from '../terms/log-position.js';
import {formatCode, formatState} from './wire-codes.js';
import {formatPosition, NO_POSITION} from './position-text.js';

/** A message from a caller. */
export type CallerMessage =
	/** The first message of a session. It names the database, which is a route's `host`, and carries the caller's key. */
	| {readonly kind: 'open'; readonly database: string; readonly key: string}
	| ({readonly kind: 'statement'} & IdentifiedStatement)
	| {readonly kind: 'end'}
	| {readonly kind: 'malformed'};

const MALFORMED: Statement = {kind: 'malformed'};

/** Parses one line from a caller. */
export function parseCallerLine(line: string): CallerMessage {
	const [keyword, rest] = splitFirstWord(line);
	switch (keyword) {
		case 'STARTUP': {
			const [database, key] = splitFirstWord(rest);
			return database === '' ? {kind: 'malformed'} : {kind: 'open', database, key};
		}

		case 'QUERY': {
			const [id, text] = splitFirstWord(rest);
			return id === '' ? {kind: 'malformed'} : {kind: 'statement', id, statement: parseStatement(text)};
		}

		case 'TERMINATE': {
			return {kind: 'end'};
		}

		default: {
			return {kind: 'malformed'};
		}
	}
}

/** Parses the text of a statement. */
export function parseStatement(text: string): Statement {
	const [keyword, rest] = splitFirstWord(text);
	switch (keyword) {
		case 'BEGIN': {
			return text === 'BEGIN' || rest === 'READ' ? {kind: 'begin', readOnly: rest === 'READ'} : MALFORMED;
		}

		// Endpoints get the plain word, so a text with anything behind it, even a blank, would be changed.
		case 'COMMIT': {
			return text === 'COMMIT' ? {kind: 'commit'} : MALFORMED;
		}

		case 'ROLLBACK': {
			return text === 'ROLLBACK' ? {kind: 'rollback'} : MALFORMED;
		}

		case 'READ': {
			return rest === '' ? MALFORMED : {kind: 'run', access: Access.Read, text};
		}

		case 'WRITE': {
			return rest === '' ? MALFORMED : {kind: 'run', access: Access.Write, text};
		}

		case 'SET': {
			return parseSet(rest);
		}

		case 'PARSE': {
			return parsePrepare(rest);
		}

		case 'EXECUTE': {
			const [name, args] = splitFirstWord(rest);
			const isFollowed = name.length < rest.length;
			return name === '' ? MALFORMED : {kind: 'execute', name, ...(isFollowed && {args})};
		}

		case 'CLOSE': {
			return rest === '' ? MALFORMED : {kind: 'forget', name: rest};
		}

		default: {
			return MALFORMED;
		}
	}
}

function parseSet(rest: string): Statement {
	const [name, value] = splitFirstWord(rest);
	return name === '' || name.length === rest.length ? MALFORMED : {kind: 'set', name, value};
}

function parsePrepare(rest: string): Statement {
	const [name, definition] = splitFirstWord(rest);
	const [access, shape] = splitFirstWord(definition);
	if (name === '' || shape === '' || (access !== 'READ' && access !== 'WRITE')) {
		return MALFORMED;
	}

	return {kind: 'prepare', name, shape: {access: access === 'READ' ? Access.Read : Access.Write, shape}};
}

/** Formats the answer to a statement: its rows, how it ended, and the ready line. */
export function formatCallerAnswer(rows: readonly string[], end: AnswerEnd, state: SessionState, position?: LogPosition): string {
	let text = '';
	for (const row of rows) {
		text += `DATAROW ${row}\r\n`;
	}

	text += formatAnswerEnd(end);
	return text + formatReady(state, position);
}

/** Formats the ready line, which follows the opening of a session and every answer. */
export function formatReady(state: SessionState, position?: LogPosition): string {
	return `READY ${formatState(state)} ${position ? formatPosition(position) : NO_POSITION}\r\n`;
}

/** Formats the line that completes an answer or reports its error, without the ready line. */
export function formatAnswerEnd(end: AnswerEnd): string {
	return end.kind === 'complete' ? `COMPLETE ${end.signature ?? '-'}\r\n` : `ERROR ${formatCode(end.code)} ${end.text}\r\n`;
}

function splitFirstWord(text: string): [string, string] {
	const blank = text.indexOf(' ');
	return blank === -1 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}
