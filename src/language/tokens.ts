import {createToken, Lexer, type TokenType} from 'chevrotain';

/**
 * The tokens of the command language.
 *
 * A name may look like a keyword or a number, so every kind of name is a category that contains all tokens except the comma.
 */

function createName(name: string, label: string): TokenType {
	return createToken({name, pattern: Lexer.NA, label});
}

export const GroupName = createName('GroupName', 'the name of a group');
export const EndpointName = createName('EndpointName', 'the name of an endpoint');
export const OperatorName = createName('OperatorName', 'the name of an operator');
export const SessionId = createName('SessionId', 'the id of a session');
export const ZoneName = createName('ZoneName', 'the name of an availability zone');
export const Topic = createName('Topic', 'the beginning of a command');

const names = [GroupName, EndpointName, OperatorName, SessionId, ZoneName, Topic];

const Blank = createToken({name: 'Blank', pattern: /\s+/u, group: Lexer.SKIPPED});

export const Comma = createToken({name: 'Comma', pattern: /,/u, label: '","'});

const Word = createToken({name: 'Word', pattern: /[^\s,]+/u, categories: names});

/** Creates a token for a value with its own pattern. */
function createValue(name: string, pattern: RegExp, label: string): TokenType {
	return createToken({
		name, pattern, label, longer_alt: Word, categories: names,
	});
}

export const RequestId = createValue('RequestId', /[\da-f]{8}(?:-[\da-f]{4}){3}-[\da-f]{12}/iu, 'a request id');
export const Ticket = createValue('Ticket', /t1\.[\w-]+\.[\w-]+/u, 'a ticket');
export const TokenHash = createValue('TokenHash', /[\da-f]{64}/iu, 'a SHA-256 hash of 64 hex digits');
export const Address = createValue('Address', /(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\da-f:]+\]):\d{1,5}/iu, 'an address such as 10.0.0.1:5432');
export const Duration = createValue('Duration', /\d+(?:ms|[smhd])/u, 'a duration such as 500ms, 5s, 2m or 24h');
export const Percent = createValue('Percent', /\d+%/u, 'a share such as 30%');
export const Count = createValue('Count', /\d+/u, 'a number');

const keywords: TokenType[] = [];

/** Creates a token for a keyword, in upper or lower case. */
function createKeyword(word: string): TokenType {
	const token = createToken({
		name: `Keyword ${word}`,
		pattern: new RegExp(word, 'iu'),
		label: `"${word}"`,
		longer_alt: Word,
		categories: names,
	});
	keywords.push(token);
	return token;
}

export const Help = createKeyword('help');
export const Why = createKeyword('why');
export const Show = createKeyword('show');
export const Sessions = createKeyword('sessions');
export const Session = createKeyword('session');
export const Endpoints = createKeyword('endpoints');
export const Endpoint = createKeyword('endpoint');
export const Groups = createKeyword('groups');
export const Group = createKeyword('group');
export const Hosts = createKeyword('hosts');
export const Config = createKeyword('config');
export const Changes = createKeyword('changes');
export const Operators = createKeyword('operators');
export const Operator = createKeyword('operator');
export const Of = createKeyword('of');
export const Last = createKeyword('last');
export const Create = createKeyword('create');
export const Delete = createKeyword('delete');
export const SetVerb = createKeyword('set');
export const With = createKeyword('with');
export const At = createKeyword('at');
export const Interactive = createKeyword('interactive');
export const In = createKeyword('in');
export const Connections = createKeyword('connections');
export const Slots = createKeyword('slots');
export const ReadAge = createKeyword('read-age');
export const Durable = createKeyword('durability');
export const Majority = createKeyword('majority');
export const Primary = createKeyword('primary');
export const Shares = createKeyword('shares');
export const Deadline = createKeyword('deadline');
export const Background = createKeyword('background');
export const Owners = createKeyword('owners');
export const KeyRetention = createKeyword('key-retention');
export const Drain = createKeyword('drain');
export const Stop = createKeyword('stop');
export const Resume = createKeyword('resume');
export const Promote = createKeyword('promote');
export const Role = createKeyword('role');
export const View = createKeyword('view');
export const Operate = createKeyword('operate');
export const Hash = createKeyword('token-hash');

/** Every token. The lexer uses the first that matches, or `Word` where that matches a longer text. */
export const tokens: TokenType[] = [
	Blank, Comma, RequestId, Ticket, TokenHash, Address, Duration, Percent, Count, ...keywords, Word, ...names,
];

/** Splits a command into tokens. Every text can be split, so that all syntax errors are reported by the grammar. */
export const commandLexer = new Lexer(tokens, {positionTracking: 'full'});
