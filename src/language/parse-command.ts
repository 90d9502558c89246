import {EOF, type IToken} from 'chevrotain';
import type {Command} from './command.js';
import {commandParser} from './command-parser.js';
import {isLanguageError, type SyntaxErrorDetails} from './language-errors.js';
import {commandLexer} from './tokens.js';

/** The parsed command, or its first syntax error. */
export type ParsedCommand =
	| {readonly ok: true; readonly command: Command}
	| {readonly ok: false; readonly syntaxError: SyntaxErrorDetails};

/** Label in the list of what was expected, where the command could also end. */
const END_OF_COMMAND = 'the end of the command';

/** Maximum number of labels in the list of what was expected; enough for every verb, which an empty command needs. */
const MAX_EXPECTED = 12;

/** Parses one command of the operators' language. */
export function parseCommand(text: string): ParsedCommand {
	const line = toLine(text);
	const {tokens} = commandLexer.tokenize(line);
	try {
		return parseTokens(line, tokens);
	} catch (err) {
		if (isLanguageError(err)) {
			return {ok: false, syntaxError: {column: err.column, expected: err.expected, found: err.found}};
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
		syntaxError: {
			column: found?.startColumn ?? text.trimEnd().length + 1,
			expected: formatExpected(before),
			found: found?.image ?? '',
		},
	};
}

/** Returns a list of everything that may follow the tokens. */
function formatExpected(before: IToken[]): string {
	const next = commandParser.computeContentAssist('command', before);
	const labels = new Set(next.map(path => path.nextTokenType.LABEL ?? path.nextTokenType.name));
	if (isComplete(before)) {
		labels.add(END_OF_COMMAND);
	}

	const named = [...labels].slice(0, MAX_EXPECTED);
	const last = named.pop() ?? END_OF_COMMAND;
	return named.length > 0 ? `${named.join(', ')} or ${last}` : last;
}

function isComplete(tokens: IToken[]): boolean {
	commandParser.input = tokens;
	commandParser.command();
	return commandParser.errors.length === 0;
}

/** Describes a syntax error: the text, a mark under the column, and what was expected there. */
export function formatSyntaxError(text: string, details: SyntaxErrorDetails): string {
	const found = details.found === '' ? 'the end' : `"${details.found}"`;
	return [
		toLine(text),
		`${' '.repeat(details.column - 1)}^`,
		`column ${details.column}: expected ${details.expected}, found ${found}`,
	].join('\n');
}

/** Puts a text on one line, so that a column identifies one position in the whole text. */
function toLine(text: string): string {
	return text.replaceAll(/\s/gv, ' ');
}
