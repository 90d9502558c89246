import {EOF, type IToken} from 'chevrotain';
import type {Command} from './command.js';
import {commandParser} from './command-parser.js';
import {isLanguageError, type WrongPlace} from './language-errors.js';
import {commandLexer} from './tokens.js';

/** A command, or the place where the text is none. */
export type ParsedCommand =
	| {readonly ok: true; readonly command: Command}
	| {readonly ok: false; readonly wrong: WrongPlace};

/** What is said where the command could end. */
const END_OF_COMMAND = 'the end of the command';

/** Most things named as expected; where the text is empty every verb is. */
const MAX_EXPECTED = 12;

/** Reads one command of the operators' language. */
export function parseCommand(text: string): ParsedCommand {
	const line = toLine(text);
	const {tokens} = commandLexer.tokenize(line);
	try {
		return parseTokens(line, tokens);
	} catch (err) {
		if (isLanguageError(err)) {
			return {ok: false, wrong: {column: err.column, expected: err.expected, found: err.found}};
		}

		throw err;
	}
}

function parseTokens(text: string, tokens: IToken[]): ParsedCommand {
	commandParser.input = tokens;
	const command = commandParser.command();
	const err = commandParser.errors[0];
	if (!err) {
		return {ok: true, command};
	}

	const found = err.token.tokenType === EOF ? undefined : err.token;
	const before = found ? tokens.slice(0, tokens.indexOf(found)) : tokens;
	return {
		ok: false,
		wrong: {
			column: found?.startColumn ?? text.trimEnd().length + 1,
			expected: getExpected(before),
			found: found?.image ?? '',
		},
	};
}

/** Names everything that may follow the tokens. */
function getExpected(before: IToken[]): string {
	const next = commandParser.computeContentAssist('command', before);
	const labels = new Set(next.map(path => path.nextTokenType.LABEL ?? path.nextTokenType.name));
	if (isWhole(before)) {
		labels.add(END_OF_COMMAND);
	}

	const named = [...labels].slice(0, MAX_EXPECTED);
	const last = named.pop() ?? END_OF_COMMAND;
	return named.length > 0 ? `${named.join(', ')} or ${last}` : last;
}

function isWhole(tokens: IToken[]): boolean {
	commandParser.input = tokens;
	commandParser.command();
	return commandParser.errors.length === 0;
}

/** Says what is wrong with a command: the text, a mark under the column, and what was expected there. */
export function explainWrongPlace(text: string, wrong: WrongPlace): string {
	const found = wrong.found === '' ? 'the end' : `"${wrong.found}"`;
	return [
		toLine(text),
		`${' '.repeat(wrong.column - 1)}^`,
		`column ${wrong.column}: expected ${wrong.expected}, found ${found}`,
	].join('\n');
}

/** Puts a text on one line, so that its columns count through. */
function toLine(text: string): string {
	return text.replaceAll(/\s/gv, ' ');
}
