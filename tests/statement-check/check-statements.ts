import type {RanStatement} from '../../src/stand-ins/plain-group/ran-statement.js';
import {AnswerCode} from '../../src/statements/statement-answer.js';
import {Access, type PreparedShape} from '../../src/statements/statement.js';

/** Rules of the platform that are judged from what the endpoints saw. */
export const StatementRule = {
	/** An endpoint ran a statement that no caller sent in these words, or committed what no caller asked to commit. */
	Unasked: 'UNASKED',
	/** A statement ran on the wrong connection, in the wrong transaction, with other session values, or as another prepared statement. */
	Pinned: 'PINNED',
	/** A success without the signature and the rows of the endpoint that ran the statement. */
	Mixed: 'MIXED',
	/** A write that took effect twice. */
	Twice: 'TWICE',
	/** A write that was committed although its caller was told that nothing is kept. */
	Refused: 'REFUSED',
} as const;

/** One of the rules in {@link StatementRule}. */
export type StatementRule = typeof StatementRule[keyof typeof StatementRule];

/** A statement as a caller sent it, and its answer. */
export type CallerExchange = {
	/** Unique among all exchanges of all sessions. */
	readonly id: string;
	readonly text: string;
	/** Lines of the answer; incomplete or empty where the connection ended before. */
	answer: readonly string[];
};

/** What one session sent, in order, each once the one before was answered. */
export type SessionRecord = {
	readonly name: string;
	readonly exchanges: readonly CallerExchange[];
};

/** A broken rule. */
export type StatementViolation = {
	readonly rule: StatementRule;
	readonly id: string;
	readonly session?: string;
	readonly what: string;
};

/** What a caller's exchange has to run as. */
type ExpectedStatement = {
	readonly session: string;
	readonly exchange: CallerExchange;
	readonly keyword: string;
	/** Id of the BEGIN of the caller's transaction; undefined outside one. */
	readonly transaction?: string;
	/** Session values that were acknowledged before it was sent. */
	readonly values: ReadonlyMap<string, string>;
	/** What was acknowledged as prepared under the name that it executes; undefined where the name is not prepared. */
	readonly shape?: PreparedShape;
};

const PROXY_ID = '-';

/** Commands that a proxy sends on its own behalf: they neither read nor change data. */
const PROXY_COMMANDS: ReadonlySet<string> = new Set(['begin', 'rollback', 'set', 'prepare', 'close', 'reset', 'status', 'fence', 'unfence', 'step-down']);

/** Commands whose success needs an endpoint, by the keywords of their texts. */
const ENDPOINT_KEYWORDS: ReadonlySet<string> = new Set(['READ', 'WRITE', 'EXECUTE', 'COMMIT']);

const PROMISE = /^ERROR (?:BUSY|ABORTED|LAGGING|READONLY|WRONGNODE|CONNLIMIT)(?: |$)/v;

/** Characters of a line that are shown in a violation. */
const MAX_SHOWN = 100;

/** Judges a whole run. `ran` holds the observations of all endpoints of a group, in the order in which they took effect. */
export function checkStatements(sessions: readonly SessionRecord[], ran: readonly RanStatement[]): StatementViolation[] {
	const expected = new Map(sessions.flatMap(session => expectStatements(session)).map(statement => [statement.exchange.id, statement]));
	const violations: StatementViolation[] = [];
	const report = (rule: StatementRule, id: string, what: string) => {
		violations.push({
			rule, id, session: expected.get(id)?.session, what,
		});
	};

	const ranById = new Map<string, RanStatement[]>();
	for (const statement of ran) {
		if (statement.id !== PROXY_ID) {
			getOrAdd(ranById, statement.id, () => []).push(statement);
		}

		checkOrigin(statement, expected.get(statement.id), report);
		checkSession(statement, expected.get(statement.id), report);
	}

	checkTransactions(ran, expected, report);
	checkCommits(ran, expected, report);
	for (const statement of expected.values()) {
		checkAnswer(statement, ranById.get(statement.exchange.id) ?? [], report);
	}

	return violations;
}

type Report = (rule: StatementRule, id: string, what: string) => void;

/** Replays what the answers acknowledged to one session. */
function expectStatements({name: session, exchanges}: SessionRecord): ExpectedStatement[] {
	let values = new Map<string, string>();
	const prepared = new Map<string, PreparedShape>();
	let transaction: string | undefined;
	const statements: ExpectedStatement[] = [];
	for (const exchange of exchanges) {
		const {id, text, answer} = exchange;
		const [keyword, rest] = splitFirstWord(text);
		const [name, definition] = splitFirstWord(rest);
		statements.push({
			session, exchange, keyword, transaction, values, shape: keyword === 'EXECUTE' ? prepared.get(name) : undefined,
		});

		if (isSuccess(answer)) {
			switch (keyword) {
				case 'SET': {
					values = new Map(values).set(name, definition);
					break;
				}

				case 'PARSE': {
					const [access, shape] = splitFirstWord(definition);
					prepared.set(name, {access: access === 'READ' ? Access.Read : Access.Write, shape});
					break;
				}

				case 'CLOSE': {
					prepared.delete(rest);
					break;
				}

				case 'BEGIN': {
					transaction = id;
					break;
				}

				default: {
					break;
				}
			}
		}

		if (answer.at(-1)?.startsWith('READY I ')) {
			transaction = undefined;
		}
	}

	return statements;
}

/** UNASKED: the id and the words of everything that an endpoint was told to run are those that a caller sent, even if it refused; a proxy's own statements change and read nothing. */
function checkOrigin(statement: RanStatement, asked: ExpectedStatement | undefined, report: Report) {
	const {id, command, end} = statement;
	if (id === PROXY_ID) {
		if (!PROXY_COMMANDS.has(command.kind) && isRun(end)) {
			report(StatementRule.Unasked, id, `a proxy ran ${show(getText(statement))}`);
		}

		return;
	}

	if (!asked) {
		report(StatementRule.Unasked, id, `no caller sent ${show(getText(statement))}`);
		return;
	}

	if (withoutName(getText(statement)) !== withoutName(asked.exchange.text)) {
		report(StatementRule.Unasked, id, `${isRun(end) ? 'ran' : 'refused'} ${show(getText(statement))} in place of ${show(asked.exchange.text)}`);
	}
}

/** PINNED: session values and prepared statements are those that were acknowledged to the caller. */
function checkSession(statement: RanStatement, asked: ExpectedStatement | undefined, report: Report) {
	const {id, command, end, values, shape} = statement;
	if (!asked || !['run', 'execute', 'commit'].includes(command.kind)) {
		return;
	}

	if (command.kind === 'execute' && end.kind === 'error' && end.code === AnswerCode.UnknownStatement) {
		report(StatementRule.Pinned, id, `${show(getText(statement))} found no statement under its name`);
	}

	if (!isRun(end)) {
		return;
	}

	if (shape?.access !== asked.shape?.access || shape?.shape !== asked.shape?.shape) {
		report(StatementRule.Pinned, id, `ran the shape ${showShape(shape)} in place of ${showShape(asked.shape)}`);
	}

	if (!isSameMap(values, asked.values)) {
		report(StatementRule.Pinned, id, `ran with ${showValues(values)} in place of ${showValues(asked.values)}`);
	}
}

/** PINNED: the statements of a transaction of a caller are those of one transaction of one endpoint, and no others are in it. */
function checkTransactions(ran: readonly RanStatement[], expected: ReadonlyMap<string, ExpectedStatement>, report: Report) {
	const connections = new Map<string, number>();
	const byCaller = new Map<string, number>();
	const owners = new Map<number, string>();
	for (const {id, command, connection, transaction, end} of ran) {
		const asked = expected.get(id);
		if (!asked || !isRun(end) || !['run', 'execute', 'commit'].includes(command.kind)) {
			continue;
		}

		if (asked.transaction === undefined) {
			if (transaction !== undefined) {
				report(StatementRule.Pinned, id, 'a single statement ran inside a transaction');
			}

			continue;
		}

		if (transaction === undefined) {
			report(StatementRule.Pinned, id, 'a statement of a transaction ran outside it');
			continue;
		}

		if (getOrAdd(connections, asked.transaction, () => connection) !== connection) {
			report(StatementRule.Pinned, id, `ran on connection ${connection}, the first statement of the transaction on ${connections.get(asked.transaction)}`);
		} else if (getOrAdd(byCaller, asked.transaction, () => transaction) !== transaction) {
			report(StatementRule.Pinned, id, 'ran in a later transaction of the connection');
		}

		if (getOrAdd(owners, transaction, () => asked.transaction!) !== asked.transaction) {
			report(StatementRule.Pinned, id, 'ran inside the transaction of another caller');
		}
	}
}

/** UNASKED, TWICE and REFUSED: every write takes effect once, by itself or by its caller's COMMIT, and not after its caller was told otherwise. */
function checkCommits(ran: readonly RanStatement[], expected: ReadonlyMap<string, ExpectedStatement>, report: Report) {
	const committedBefore = new Set<string>();
	for (const {id, committed} of ran) {
		const asked = expected.get(id);
		const isCommit = asked?.keyword === 'COMMIT';
		if (isCommit && committed.length > 0 && isPromise(asked.exchange.answer)) {
			report(StatementRule.Refused, id, `committed although its caller was told ${show(asked.exchange.answer.join(' / '))}`);
		}

		for (const written of committed) {
			const write = expected.get(written);
			if (committedBefore.has(written)) {
				report(StatementRule.Twice, written, `took effect twice, the second time by ${id}`);
			}

			committedBefore.add(written);
			const isAskedFor = write !== undefined && (isCommit ? write.transaction !== undefined && write.transaction === asked.transaction : written === id && write.transaction === undefined);
			if (!isAskedFor) {
				report(StatementRule.Unasked, written, `committed by ${id}, which its caller did not ask for`);
			}

			if (write && isPromise(write.exchange.answer)) {
				report(StatementRule.Refused, written, `took effect although its caller was told ${show(write.exchange.answer.join(' / '))}`);
			}
		}
	}
}

/** MIXED, and PINNED where a prepared statement is unknown: a success has the signature and rows of a run. */
function checkAnswer({exchange, keyword, shape}: ExpectedStatement, runs: readonly RanStatement[], report: Report) {
	const {id, answer} = exchange;
	if (shape && answer.some(line => /^ERROR NOSUCHSTMT(?: |$)/v.test(line))) {
		report(StatementRule.Pinned, id, 'its prepared statement was unknown although it was acknowledged');
	}

	if (!isSuccess(answer) || !ENDPOINT_KEYWORDS.has(keyword)) {
		return;
	}

	const received = answer.slice(0, -1).join('\r\n');
	if (!runs.some(run => getExpectedAnswer(run) === received)) {
		report(StatementRule.Mixed, id, `${show(received)} is the answer of none of its ${runs.length} runs`);
	}
}

function getExpectedAnswer({rows, end}: RanStatement): string | undefined {
	return end.kind === 'complete' && end.signature !== undefined ? [...rows.map(row => `DATAROW ${row}`), `COMPLETE ${end.signature}`].join('\r\n') : undefined;
}

/** Whether an endpoint ran the statement, even if it failed. */
function isRun(end: RanStatement['end']): boolean {
	return end.kind === 'complete' || end.code === AnswerCode.Failed || end.code === AnswerCode.TimedOut;
}

function isSuccess(answer: readonly string[]): boolean {
	return answer.at(-1)?.startsWith('READY ') === true && answer.at(-2)?.startsWith('COMPLETE ') === true;
}

function isPromise(answer: readonly string[]): boolean {
	return answer.some(line => PROMISE.test(line));
}

/** Returns the text of a statement without the position that may precede it. */
function getText({id, line}: RanStatement): string {
	const text = (line ?? '').slice(`QUERY ${id} `.length);
	return text.startsWith('AFTER ') ? splitFirstWord(splitFirstWord(text)[1])[1] : text;
}

/** Returns a text without the name of the prepared statement, which a proxy may change. */
function withoutName(text: string): string {
	const [keyword, rest] = splitFirstWord(text);
	if (keyword !== 'PARSE' && keyword !== 'EXECUTE' && keyword !== 'CLOSE') {
		return text;
	}

	const [name] = splitFirstWord(rest);
	return `${keyword} ${rest.slice(name.length)}`;
}

function splitFirstWord(text: string): [string, string] {
	const blank = text.indexOf(' ');
	return blank === -1 ? [text, ''] : [text.slice(0, blank), text.slice(blank + 1)];
}

function isSameMap(a: ReadonlyMap<string, string>, b: ReadonlyMap<string, string>): boolean {
	return a.size === b.size && [...a].every(([name, value]) => b.get(name) === value);
}

function getOrAdd<Key, Value>(map: Map<Key, Value>, key: Key, create: () => Value): Value {
	const value = map.get(key) ?? create();
	map.set(key, value);
	return value;
}

function show(text: string): string {
	return JSON.stringify(text.slice(0, MAX_SHOWN));
}

function showShape(shape: PreparedShape | undefined): string {
	return shape ? `${shape.access} ${show(shape.shape)}` : 'none';
}

function showValues(values: ReadonlyMap<string, string>): string {
	return show(JSON.stringify(Object.fromEntries(values)));
}
