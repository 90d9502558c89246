import type {DatabaseSession} from './database-session.js';
import {DatabaseError, DatabaseErrorCode, throwStatementError} from './database-errors.js';
import {ExchangeKind} from './exchange-kind.js';
import type {GroupMember} from './group-member.js';

/** A function call of the group's SQL interface, as one exchange with the in-memory server. */
export type PgExchange = {
	readonly kind: ExchangeKind;
	/** Runs the exchange and returns the value that the answer holds as JSON. */
	work(): unknown;
};

type Values = ReadonlyArray<string | undefined>;

type ExchangeBuilder = (session: DatabaseSession, member: GroupMember, values: Values) => PgExchange;

const CALL_PATTERN = /^\s*(?:select|call)\s+aldercroft\.(?<name>\w+)\s*\(/iv;

/** Functions and procedures of the schema `aldercroft`, by name. */
const FUNCTIONS: Readonly<Record<string, ExchangeBuilder>> = {
	status: (_session, member) => ({kind: ExchangeKind.Status, work: () => member.getStatus()}),
	wait_for: (_session, member, [term, position, waitMs]) => ({
		kind: ExchangeKind.WaitFor,
		async work() {
			await member.waitFor({term: Number(term), position: Number(position)}, Number(waitMs));
			return member.getStatus();
		},
	}),
	fence: (_session, member, [term]) => ({kind: ExchangeKind.Fence, work: () => member.fence(Number(term))}),
	promote: (_session, member, [term]) => ({kind: ExchangeKind.Promote, work: () => member.promote(Number(term))}),
	follow: (_session, member, [term, address]) => ({kind: ExchangeKind.Follow, work: () => member.follow(Number(term), address!)}),
	write: ({backend}, _member, [requestId, digest, statement, values, term, waitMs]) => ({
		kind: ExchangeKind.Write,
		work: async () => backend.write({
			requestId: requestId!, digest: digest!, statement: statement!, values: parseValues(values), term: Number(term),
		}, Number(waitMs)),
	}),
	resolve: ({backend}, _member, [requestId, term, waitMs]) => ({
		kind: ExchangeKind.Resolve,
		work: async () => backend.resolve(requestId!, Number(term), Number(waitMs)),
	}),
	read: ({backend}, _member, [statement, values, term, position]) => ({
		kind: ExchangeKind.Read,
		work: async () => backend.read({
			statement: statement!, values: parseValues(values), floor: {term: Number(term), position: Number(position)},
		}),
	}),
	begin_key: ({backend}, _member, [requestId, digest, term, waitMs]) => ({
		kind: ExchangeKind.Begin,
		work: async () => backend.begin({requestId: requestId!, digest: digest!, term: Number(term)}, Number(waitMs)),
	}),
	run: ({backend}, _member, [statement, values]) => ({
		kind: ExchangeKind.Run,
		async work() {
			const {rows, message} = await backend.run(statement!, parseValues(values));
			return message === undefined ? rows : throwRunFailed(message);
		},
	}),
};

/** Returns the exchange that a statement calls; throws DatabaseError if it calls none. */
export function getPgExchange(text: string, session: DatabaseSession, member: GroupMember, values: Values): PgExchange {
	const name = CALL_PATTERN.exec(text)?.groups?.name;
	const build = name === undefined ? undefined : FUNCTIONS[name];
	return build ? build(session, member, values) : throwStatementError('the stand-in server knows only the functions of aldercroft');
}

function parseValues(text: string | undefined): readonly unknown[] {
	return JSON.parse(text ?? '[]') as unknown[];
}

function throwRunFailed(message: string): never {
	throw new DatabaseError(message, {props: {code: DatabaseErrorCode.TransactionFailed}});
}
