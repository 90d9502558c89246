import {throwStatementError} from './database-errors.js';

/** The kinds of statement that the stand-in server supports; it matches a few patterns and has no full SQL parser. */
export const StatementKind = {
	Create: 'CREATE TABLE',
	Insert: 'INSERT',
	Select: 'SELECT',
	Update: 'UPDATE',
	Delete: 'DELETE',
} as const;

/** One of the kinds in {@link StatementKind}. */
export type StatementKind = typeof StatementKind[keyof typeof StatementKind];

/** A value in a statement: a literal, or the parameter at an index from 0. */
export type Operand = {readonly parameter: number} | {readonly literal: unknown};

/** `column = operand`. */
export type Condition = {readonly column: string; readonly operand: Operand};

/** `column = operand`, or `column = column + operand` if `isIncrement`. */
export type Assignment = Condition & {readonly isIncrement: boolean};

/** Names of columns, or `*` for all. */
export type ColumnList = readonly string[] | '*';

/** A parsed statement. */
export type Statement =
	| {readonly kind: typeof StatementKind.Create; readonly table: string; readonly columns: readonly string[]}
	| {readonly kind: typeof StatementKind.Insert; readonly table: string; readonly columns: readonly string[]; readonly operands: readonly Operand[]; readonly returning?: ColumnList}
	| {readonly kind: typeof StatementKind.Select; readonly table: string; readonly columns: ColumnList | 'count'; readonly where: readonly Condition[]; readonly orderBy?: string}
	| {readonly kind: typeof StatementKind.Update; readonly table: string; readonly assignments: readonly Assignment[]; readonly where: readonly Condition[]; readonly returning?: ColumnList}
	| {readonly kind: typeof StatementKind.Delete; readonly table: string; readonly where: readonly Condition[]; readonly returning?: ColumnList};

type Groups = Readonly<Record<string, string | undefined>>;

const RETURNING = String.raw`(?:\s+returning\s+(?<returning>.+))?`;
const WHERE = String.raw`(?:\s+where\s+(?<where>.+?))?`;

const FORMS: ReadonlyArray<{readonly pattern: RegExp; build(groups: Groups): Statement}> = [
	{pattern: /^create\s+table\s+(?:if\s+not\s+exists\s+)?(?<table>\w+)\s*\((?<columns>.+)\)$/isv, build: buildCreate},
	{pattern: new RegExp(String.raw`^insert\s+into\s+(?<table>\w+)\s*\((?<columns>[^\)]+)\)\s*values\s*\((?<values>.+?)\)${RETURNING}$`, 'isv'), build: buildInsert},
	{pattern: new RegExp(String.raw`^select\s+(?<columns>.+?)\s+from\s+(?<table>\w+)${WHERE}(?:\s+order\s+by\s+(?<order>\w+))?$`, 'isv'), build: buildSelect},
	{pattern: new RegExp(String.raw`^update\s+(?<table>\w+)\s+set\s+(?<set>.+?)${WHERE}${RETURNING}$`, 'isv'), build: buildUpdate},
	{pattern: new RegExp(String.raw`^delete\s+from\s+(?<table>\w+)${WHERE}${RETURNING}$`, 'isv'), build: buildDelete},
];

const CONDITION = /^(?<column>\w+)\s*=\s*(?<operand>'(?:[^']|'')*'|\S+)(?:\s+and\s+|$)/isv;
const ASSIGNMENT = /^(?<column>\w+)\s*=\s*(?:(?<added>\w+)\s*\+\s*)?(?<operand>'(?:[^']|'')*'|\S+)$/isv;

/** Maximum number of parsed statements in the cache. */
const MAX_CACHED_STATEMENTS = 1000;

const statementCache = new Map<string, Statement>();

/** Parses a statement; throws DatabaseError if the stand-in server does not support it. */
export function parseStatement(text: string): Statement {
	const cached = statementCache.get(text);
	if (cached) {
		return cached;
	}

	const statement = parseUncached(text.trim().replace(/;$/v, ''));
	if (statementCache.size >= MAX_CACHED_STATEMENTS) {
		statementCache.clear();
	}

	statementCache.set(text, statement);
	return statement;
}

function parseUncached(text: string): Statement {
	for (const form of FORMS) {
		const groups = form.pattern.exec(text)?.groups;
		if (groups) {
			return form.build(groups);
		}
	}

	return throwStatementError('syntax error: the stand-in server does not understand the statement');
}

function buildCreate(groups: Groups): Statement {
	const columns = splitList(groups.columns!).map(column => column.split(/\s/v)[0]!);
	return {kind: StatementKind.Create, table: groups.table!, columns};
}

function buildInsert(groups: Groups): Statement {
	const columns = splitList(groups.columns!);
	const operands = splitList(groups.values!).map(value => parseOperand(value));
	if (columns.length !== operands.length) {
		throwStatementError('INSERT has not as many values as columns');
	}

	return {
		kind: StatementKind.Insert, table: groups.table!, columns, operands, returning: parseReturning(groups),
	};
}

function buildSelect(groups: Groups): Statement {
	const isCount = /^count\(\*\)$/iv.test(groups.columns!);
	return {
		kind: StatementKind.Select,
		table: groups.table!,
		columns: isCount ? 'count' : parseColumns(groups.columns!),
		where: parseWhere(groups.where),
		orderBy: groups.order,
	};
}

function buildUpdate(groups: Groups): Statement {
	return {
		kind: StatementKind.Update,
		table: groups.table!,
		assignments: splitList(groups.set!).map(text => parseAssignment(text)),
		where: parseWhere(groups.where),
		returning: parseReturning(groups),
	};
}

function buildDelete(groups: Groups): Statement {
	return {
		kind: StatementKind.Delete, table: groups.table!, where: parseWhere(groups.where), returning: parseReturning(groups),
	};
}

function parseReturning(groups: Groups) {
	return groups.returning === undefined ? undefined : parseColumns(groups.returning);
}

function parseColumns(text: string): ColumnList {
	return text.trim() === '*' ? '*' : splitList(text);
}

function parseAssignment(text: string): Assignment {
	const groups = ASSIGNMENT.exec(text)?.groups ?? throwStatementError(`syntax error at "${text}"`);
	if (groups.added !== undefined && groups.added !== groups.column) {
		throwStatementError('the stand-in server adds only to the column itself');
	}

	return {column: groups.column!, operand: parseOperand(groups.operand!), isIncrement: groups.added !== undefined};
}

function parseWhere(text = ''): readonly Condition[] {
	const conditions: Condition[] = [];
	let rest = text;
	while (rest !== '') {
		const match = CONDITION.exec(rest) ?? throwStatementError(`syntax error at "${rest}"`);
		conditions.push({column: match.groups!.column!, operand: parseOperand(match.groups!.operand!)});
		rest = rest.slice(match[0].length);
	}

	return conditions;
}

function parseOperand(text: string): Operand {
	if (/^\$[1-9]\d*$/v.test(text)) {
		return {parameter: Number(text.slice(1)) - 1};
	}

	if (/^'.*'$/sv.test(text)) {
		return {literal: text.slice(1, -1).replaceAll('\'\'', '\'')};
	}

	if (/^-?\d+(?:\.\d+)?$/v.test(text)) {
		return {literal: Number(text)};
	}

	const lowerCased = text.toLowerCase();
	if (lowerCased === 'true' || lowerCased === 'false') {
		return {literal: lowerCased === 'true'};
	}

	return lowerCased === 'null' ? {literal: null} : throwStatementError(`syntax error at "${text}"`);
}

/** Splits a list at the commas outside quotes. */
function splitList(text: string): string[] {
	const items = text.match(/(?:'(?:[^']|'')*'|[^,'])+/gv) ?? [];
	return items.map(item => item.trim());
}
