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

/** Executes the statements of one connection at the server. */
export type Backend = {
	readonly inTransaction: boolean;
	/** Runs a keyed write; rejects with DatabaseError if another transaction keeps the key in flight for `waitMs` milliseconds. */
	write(write: KeyedWrite, waitMs: number): Promise<KeyedWriteAnswer>;
	resolve(requestId: string, term: number, waitMs: number): Promise<KeyedWriteAnswer>;
	read(read: FloorRead): Promise<FloorReadAnswer>;
	begin(key: TransactionKey, waitMs: number): Promise<KeyedWriteAnswer>;
	run(statement: string, values: readonly unknown[]): Promise<StatementAnswer>;
	commit(): Promise<KeyedWriteAnswer>;
	/** Rolls back the open transaction, if there is one. */
	rollback(): void;
};

/** Options of {@link createBackend}. */
export type BackendOptions = {
	readonly member: GroupMember;
	readonly memory: ServerMemory;
	readonly clock: Clock;
	/** Waits for the service time of one statement; rejects with DatabaseError if the connection or the server ends meanwhile. */
	serve(): Promise<void>;
	/** Throws DatabaseError if the connection or the server has ended. */
	checkAlive(): void;
};

type KeyLookup = {
	readonly requestId: string;
	/** Absent in a resolve, which accepts a record of any digest. */
	readonly digest?: string;
	readonly term: number;
	readonly waitMs: number;
	/** Called synchronously once the key was found absent. */
	onAbsent(): KeyedWriteAnswer | Promise<KeyedWriteAnswer>;
};

/** Creates the backend of a new connection. */
export function createBackend({member, memory, clock, serve, checkAlive}: BackendOptions): Backend {
	const {slots, keysInFlight} = memory;
	let openTransaction: KeyedTransaction | undefined;

	const createAnswer = (result: KeyedWriteResult): KeyedWriteAnswer => ({result, status: member.getStatus()});

	const runInSlot = async <T>(work: () => Promise<T>): Promise<T> => {
		await slots.acquire();
		try {
			checkAlive();
			return await work();
		} finally {
			slots.release();
		}
	};

	/** Waits until another transaction releases the key. The slot is released meanwhile, since that transaction may need one to end. */
	const waitForKey = async (inFlight: Promise<void>, ms: number) => {
		slots.release();
		const waited = await withinMs(clock, ms, inFlight);
		await slots.acquire();
		checkAlive();
		if (waited.timedOut) {
			throwLockTimeout();
		}
	};

	/**
	 * Returns the recorded answer of a key, or calls `onAbsent` if the key has no record and is not in flight.
	 *
	 * Two attempts of one request that wait for the same key would both run if both could find it absent before either
	 * inserts it. So `onAbsent` is called synchronously after the check, with no other task in between.
	 */
	const findAnswerOrRun = async ({requestId, digest, term, waitMs, onAbsent}: KeyLookup): Promise<KeyedWriteAnswer> => {
		const deadlineAt = clock.now() + waitMs;
		for (;;) {
			if (!member.isPrimaryAt(term)) {
				return createAnswer(KeyedWriteResult.NotPrimary);
			}

			const record = member.state.getKey(requestId);
			if (record) {
				return getRecordAnswer(record, digest, member.getStatus());
			}

			const inFlight = keysInFlight.get(requestId);
			if (!inFlight) {
				return onAbsent();
			}

			await waitForKey(inFlight, Math.max(0, deadlineAt - clock.now()));
		}
	};

	/** Appends the transaction to the log as one entry. The role is checked synchronously before it, so that no superseded primary commits. */
	const commitTransaction = (transaction: KeyedTransaction, rows: readonly Row[]): KeyedWriteAnswer => {
		const {requestId, digest, term} = transaction.key;
		if (!member.isPrimaryAt(term)) {
			return createAnswer(KeyedWriteResult.NotPrimary);
		}

		member.append({key: {requestId, record: {kind: 'answer', digest, rows}}, changes: transaction.getChanges()});
		return {...createAnswer(KeyedWriteResult.Ran), rows};
	};

	const runKeyedWrite = async (write: KeyedWrite): Promise<KeyedWriteAnswer> => {
		const transaction = createKeyedTransaction(write, member.state, memory);
		try {
			await serve();
			return commitTransaction(transaction, transaction.run(write.statement, write.values));
		} catch (err) {
			checkAlive();
			return {...createAnswer(KeyedWriteResult.Failed), message: getMessageOrThrow(err)};
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
		openTransaction?.end();
		openTransaction = undefined;
	};

	return {
		get inTransaction() {
			return openTransaction !== undefined;
		},
		write: async (write, waitMs) => runInSlot(async () =>
			findAnswerOrRun({...write, waitMs, onAbsent: async () => runKeyedWrite(write)})),
		resolve: async (requestId, term, waitMs) => runInSlot(async () => findAnswerOrRun({
			requestId,
			term,
			waitMs,
			onAbsent() {
				member.append({key: {requestId, record: {kind: 'tombstone'}}, changes: []});
				return createAnswer(KeyedWriteResult.Tombstone);
			},
		})),
		read: async read => runInSlot(async () => runRead(read)),
		begin: async (key, waitMs) => runInSlot(async () => findAnswerOrRun({
			...key,
			waitMs,
			onAbsent() {
				// As in PostgreSQL, a BEGIN within a transaction has no effect: the statements that follow belong to the open transaction.
				openTransaction ??= createKeyedTransaction(key, member.state, memory);
				return {...createAnswer(KeyedWriteResult.Ran), rows: []};
			},
		})),
		run: async (statement, values) => runInSlot(async () => {
			try {
				await serve();
				return {rows: openTransaction ? openTransaction.run(statement, values) : throwStatementError('no transaction is open')};
			} catch (err) {
				checkAlive();
				return {rows: [], message: getMessageOrThrow(err)};
			}
		}),
		commit: async () => runInSlot(async () => {
			if (!openTransaction || openTransaction.failed) {
				rollback();
				return {...createAnswer(KeyedWriteResult.Failed), message: 'the transaction had failed and was rolled back'};
			}

			const committed = commitTransaction(openTransaction, []);
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
