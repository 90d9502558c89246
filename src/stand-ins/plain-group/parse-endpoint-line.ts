import type {EndpointCommand} from '../../links/endpoint-link.js';
import {parsePosition} from '../../platform/position-text.js';
import {Access} from '../../statements/statement.js';
import type {PlainRequest} from './plain-server.js';

/**
 * Parses a request as the protocol defines it for endpoints: words separated by one blank each, the last field extends to the end of the line. Returns undefined
 * for anything else. It shares no code with the parser for callers, so that a fault of that one does not hide here.
 */
export function parseEndpointLine(line: string): PlainRequest | undefined {
	const [keyword, id, text] = splitFields(line, 3);
	if (keyword !== 'QUERY' || !id || text === undefined) {
		return undefined;
	}

	const [first, position, rest] = splitFields(text, 3);
	if (first !== 'AFTER') {
		const command = parseCommand(text);
		return command && {id, command, line};
	}

	const floor = parsePosition(position ?? '');
	const command = rest === undefined ? undefined : parseCommand(rest);
	return floor && (command?.kind === 'run' || command?.kind === 'execute' || command?.kind === 'begin')
		? {
			id, command, floor, line,
		}
		: undefined;
}

/** Splits a text into at most `count` fields, the last of which extends to its end. */
function splitFields(text: string, count: number): string[] {
	const fields: string[] = [];
	let from = 0;
	while (fields.length < count - 1) {
		const blank = text.indexOf(' ', from);
		if (blank === -1) {
			break;
		}

		fields.push(text.slice(from, blank));
		from = blank + 1;
	}

	return [...fields, text.slice(from)];
}

const BARE_COMMANDS: ReadonlyMap<string, EndpointCommand> = new Map(Object.entries<EndpointCommand>({
	BEGIN: {kind: 'begin', readOnly: false},
	'BEGIN READ': {kind: 'begin', readOnly: true},
	COMMIT: {kind: 'commit'},
	ROLLBACK: {kind: 'rollback'},
	RESET: {kind: 'reset'},
	STATUS: {kind: 'status'},
	RESUME: {kind: 'unfence'},
}));

const ACCESS_BY_KEYWORD: ReadonlyMap<string, Access> = new Map([['READ', Access.Read], ['WRITE', Access.Write]]);

function parseCommand(text: string): EndpointCommand | undefined {
	const bare = BARE_COMMANDS.get(text);
	if (bare) {
		return bare;
	}

	const [keyword, rest] = splitFields(text, 2);
	if (!rest) {
		return undefined;
	}

	return COMMAND_PARSERS.get(keyword!)?.(rest, text);
}

const COMMAND_PARSERS = new Map(Object.entries<(rest: string, text: string) => EndpointCommand | undefined>({
	READ: (_rest, text) => ({kind: 'run', text}),
	WRITE: (_rest, text) => ({kind: 'run', text}),
	SET(rest) {
		const [name, value] = splitFields(rest, 2);
		return name && value !== undefined ? {kind: 'set', name, value} : undefined;
	},
	PARSE(rest) {
		const [name, access, shape] = splitFields(rest, 3);
		const known = access === undefined ? undefined : ACCESS_BY_KEYWORD.get(access);
		return name && known && shape ? {kind: 'prepare', name, shape: {access: known, shape}} : undefined;
	},
	EXECUTE(rest) {
		const [name, args] = splitFields(rest, 2);
		return name ? {kind: 'execute', name, args} : undefined;
	},
	CLOSE: rest => rest.includes(' ') ? undefined : {kind: 'close', name: rest},
	PAUSE: rest => parseTerm('fence', rest),
	STEPDOWN: rest => parseTerm('step-down', rest),
}));

function parseTerm(kind: 'fence' | 'step-down', text: string): EndpointCommand | undefined {
	const term = Number(text);
	return Number.isSafeInteger(term) ? {kind, term} : undefined;
}
