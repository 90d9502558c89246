import {
	KeyedWriteResult, type FloorRead, type FloorReadAnswer, type KeyedWrite, type KeyedWriteAnswer, type Row, type StatementAnswer,
} from '../../endpoints/endpoint.js';
import {holdsLogPosition} from '../../terms/log-position.js';
import type {Clock} from '../../time/clock.js';
import {withinMs} from '../../time/deadline.js';
import {isDatabaseError, throwLockTimeout, throwStatementError} from './database-errors.js';
import type {GroupMember} from './group-member.js';
import {createKeyedTransaction, type KeyedTransaction, type TransactionKey} from './keyed-transaction.js';
import {getRecordAnswer} from './keyed-answers.js';
import type {ServerMemory} from './server-memory.js';
import {executeStatement} from './statement-execution.js';
import {parseStatement, StatementKind} from './statement.js';

/** The statements' side of one connection at the server. */
export type Backend = {
	readonly inTransaction: boolean;
	/** Runs a keyed write; rejects with DatabaseError where its key stays in flight elsewhere for `waitMs`. */
	write(write: KeyedWrite, waitMs: number): Promise<KeyedWriteAnswer>;
	resolve(requestId: string, term: number, waitMs: number): Promise<KeyedWriteAnswer>;
	read(read: FloorRead): Promise<FloorReadAnswer>;
	begin(key: TransactionKey, waitMs: number): Promise<KeyedWriteAnswer>;
	run(statement: string, values: readonly unknown[]): Promise<StatementAnswer>;
	commit(): Promise<KeyedWriteAnswer>;
	/** Ends the open transaction, if there is one, without effect. */
	rollback(): void;
};

/** What a backend needs of its server. */
export type BackendOptions = {
	readonly member: GroupMember;
	readonly memory: ServerMemory;
	readonly clock: Clock;
	/** Takes the time of one statement; rejects with DatabaseError when the server dies meanwhile. */
	serve(): Promise<void>;
	/** Throws DatabaseError where the server has died. */
	checkAlive(): void;
};

type KeyRequest = {
	readonly requestId: string;
	/** Absent in a resolve, which takes whatever stands. */
	readonly digest?: string;
	readonly term: number;
	readonly waitMs: number;
	/** Called in the same instant in which the key was found absent. */
	onAbsent(): KeyedWriteAnswer | Promise<KeyedWriteAnswer>;
};

/** Creates the backend of a new connection. */
export function createBackend({member, memory, clock, serve, checkAlive}: BackendOptions): Backend {
	const {slots, keysInFlight} = memory;
	let open: KeyedTransaction | undefined;

	const answer = (result: KeyedWriteResult): KeyedWriteAnswer => ({result, status: member.getStatus()});

	const inSlot = async <T>(work: () => Promise<T>): Promise<T> => {
		await slots.take();
		try {
			checkAlive();
			return await work();
		} finally {
			slots.release();
		}
	};

	/** Waits for another transaction's key without holding a slot: its owner may need one to end. */
	const waitForKey = async (inFlight: Promise<void>, ms: number) => {
		slots.release();
		const waited = await withinMs(clock, ms, inFlight);
		await slots.take();
		checkAlive();
		if (waited.timedOut) {
			throwLockTimeout();
		}
	};

	/**
	 * Answers what stands under a key, or goes on where nothing does.
	 *
	 * Two tries of one request that wait for the same key would both run if they could find it absent before either
	 * inserts it. So `onAbsent` is called in the instant of the check, with no other task in between.
	 */
	const withKey = async ({requestId, digest, term, waitMs, onAbsent}: KeyRequest): Promise<KeyedWriteAnswer> => {
		const until = clock.now() + waitMs;
		for (;;) {
			if (!member.isPrimaryAt(term)) {
				return answer(KeyedWriteResult.NotPrimary);
			}

			const record = member.state.getKey(requestId);
			if (record) {
				return getRecordAnswer(record, digest, member.getStatus());
			}

			const inFlight = keysInFlight.get(requestId);
			if (!inFlight) {
				return onAbsent();
			}

			await waitForKey(inFlight, Math.max(0, until - clock.now()));
		}
	};

	/** Writes the transaction's one entry; the role is checked in the same instant, so that no superseded primary commits. */
	const commitTransaction = (transaction: KeyedTransaction, rows: readonly Row[]): KeyedWriteAnswer => {
		const {requestId, digest, term} = transaction.key;
		if (!member.isPrimaryAt(term)) {
			return answer(KeyedWriteResult.NotPrimary);
		}

		member.append({key: {requestId, record: {kind: 'answer', digest, rows}}, changes: transaction.getChanges()});
		return {...answer(KeyedWriteResult.Ran), rows};
	};

	const runKeyedWrite = async (write: KeyedWrite): Promise<KeyedWriteAnswer> => {
		const transaction = createKeyedTransaction(write, member.state, memory);
		try {
			await serve();
			return commitTransaction(transaction, transaction.run(write.statement, write.values));
		} catch (err) {
			checkAlive();
			return {...answer(KeyedWriteResult.Failed), message: getMessageOrThrow(err)};
		} finally {
			transaction.end();
		}
	};

	const runRead = async ({statement: text, values, floor}: FloorRead): Promise<FloorReadAnswer> => {
		const status = member.getStatus();
		if (!holdsLogPosition(status.log, floor)) {
			return {held: false, rows: [], status};
		}

		if (floor.position > 0 && member.log.get(floor.position)?.term !== floor.term) {
			return {
				held: false, lost: true, rows: [], status,
			};
		}

		try {
			await serve();
			const statement = parseStatement(text);
			if (statement.kind !== StatementKind.Select) {
				throwStatementError(`cannot execute ${statement.kind} in a read-only transaction`);
			}

			return {held: true, rows: executeStatement(statement, values, member.state).rows, status};
		} catch (err) {
			checkAlive();
			return {
				held: true, rows: [], status, message: getMessageOrThrow(err),
			};
		}
	};

	const rollback = () => {
		open?.end();
		open = undefined;
	};

	return {
		get inTransaction() {
			return open !== undefined;
		},
		write: async (write, waitMs) => inSlot(async () =>
			withKey({...write, waitMs, onAbsent: async () => runKeyedWrite(write)})),
		resolve: async (requestId, term, waitMs) => inSlot(async () => withKey({
			requestId,
			term,
			waitMs,
			onAbsent() {
				member.append({key: {requestId, record: {kind: 'tombstone'}}, changes: []});
				return answer(KeyedWriteResult.Tombstone);
			},
		})),
		read: async read => inSlot(async () => runRead(read)),
		begin: async (key, waitMs) => inSlot(async () => withKey({
			...key,
			waitMs,
			onAbsent() {
				// As in PostgreSQL, a BEGIN within a transaction is only warned of: what follows belongs to the open one.
				open ??= createKeyedTransaction(key, member.state, memory);
				return {...answer(KeyedWriteResult.Ran), rows: []};
			},
		})),
		run: async (statement, values) => inSlot(async () => {
			try {
				await serve();
				return {rows: open ? open.run(statement, values) : throwStatementError('no transaction is open')};
			} catch (err) {
				checkAlive();
				return {rows: [], message: getMessageOrThrow(err)};
			}
		}),
		commit: async () => inSlot(async () => {
			if (!open || open.failed) {
				rollback();
				return {...answer(KeyedWriteResult.Failed), message: 'the transaction had failed and was rolled back'};
			}

			const committed = commitTransaction(open, []);
			rollback();
			return committed;
		}),
		rollback,
	};
}

function getMessageOrThrow(err: unknown): string {
	if (!isDatabaseError(err)) {
		throw err;
	}

	return err.message;
}
