import type {Socket} from 'node:net';
import pg from 'pg';
import type {z} from 'zod';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {
	endpointStatusSchema, floorReadAnswerSchema, keyedWriteAnswerSchema, rowsSchema, termAnswerSchema,
} from './answer-schemas.js';
import {
	KeyedWriteResult, type EndpointConnection, type KeyedWriteAnswer, type StatementAnswer,
} from './endpoint.js';
import {createExchangeRunner} from './exchange-runner.js';
import {NOT_PRIMARY_CODE, PgCalls, type PgCall} from './pg-calls.js';

/** Timeout for the server to end its side of a connection that is closed gracefully, in milliseconds. */
const CLOSE_TIMEOUT_MS = 1000;

/** What a connection over the PostgreSQL protocol needs. */
export type PgConnectionOptions = {
	readonly address: string;
	/** A client that is connected. */
	readonly client: pg.Client;
	/** The client's socket. */
	readonly socket: Socket;
	readonly clock: Clock;
};

/** Creates an endpoint connection from a connected client. */
export function createPgConnection({address, client, socket, clock}: PgConnectionOptions): EndpointConnection {
	const runner = createExchangeRunner({
		address,
		clock,
		onEnd() {
			socket.destroy();
		},
	});

	let closing = false;

	const end = (cause: unknown) => {
		runner.end(cause);
	};

	// The client reports a lost connection, and a message that no query awaits, only by this event.
	client.on('error', end);
	client.on('end', () => {
		end(`${address} closed the connection`);
	});

	const call = async <T>({name, text}: PgCall, values: unknown[], schema: z.ZodType<T>): Promise<T> => {
		const result = await client.query<[unknown]>({
			name, text, values, rowMode: 'array',
		});
		return schema.parse(result.rows[0]?.[0]);
	};

	const getStatus = async () => call(PgCalls.Status, [], endpointStatusSchema);

	const runStatement = async (statement: string, values: readonly unknown[]): Promise<StatementAnswer> => {
		try {
			return {rows: await call(PgCalls.Run, [statement, JSON.stringify(values)], rowsSchema)};
		} catch (err) {
			return {rows: [], message: getServerErrorOrThrow(err).message};
		}
	};

	const commit = async (): Promise<KeyedWriteAnswer> => {
		const result = await client.query('COMMIT').then(({command}) => command, (err: unknown) => {
			// Only this error proves that nothing was committed; after any other the outcome is unknown.
			if (getServerErrorOrThrow(err).code !== NOT_PRIMARY_CODE) {
				throw err;
			}

			return KeyedWriteResult.NotPrimary;
		});
		const status = await getStatus();
		if (result === KeyedWriteResult.NotPrimary) {
			return {result, status};
		}

		// The server answers COMMIT with ROLLBACK where a statement of the transaction had failed.
		return result === 'COMMIT'
			? {result: KeyedWriteResult.Ran, rows: [], status}
			: {result: KeyedWriteResult.Failed, message: 'the transaction had failed and was rolled back', status};
	};

	return {
		get usable() {
			return runner.usable && !closing;
		},
		status: async timeoutMs => runner.run('status', timeoutMs, getStatus),
		waitFor: async ({term, position}, waitMs, timeoutMs) => runner.run('waitFor', timeoutMs, async () =>
			call(PgCalls.WaitFor, [term, position, Math.ceil(waitMs)], endpointStatusSchema)),
		fence: async (term, timeoutMs) => runner.run('fence', timeoutMs, async () => call(PgCalls.Fence, [term], termAnswerSchema)),
		promote: async (term, timeoutMs) => runner.run('promote', timeoutMs, async () => call(PgCalls.Promote, [term], termAnswerSchema)),
		follow: async (term, primary, timeoutMs) => runner.run('follow', timeoutMs, async () => call(PgCalls.Follow, [term, primary], termAnswerSchema)),
		write: async ({requestId, digest, statement, values, term}, timeoutMs) => runner.run('write', timeoutMs, async () =>
			call(PgCalls.Write, [requestId, digest, statement, JSON.stringify(values), term, Math.ceil(timeoutMs)], keyedWriteAnswerSchema)),
		resolve: async (requestId, term, timeoutMs) => runner.run('resolve', timeoutMs, async () =>
			call(PgCalls.Resolve, [requestId, term, Math.ceil(timeoutMs)], keyedWriteAnswerSchema)),
		read: async ({statement, values, floor}, timeoutMs) => runner.run('read', timeoutMs, async () =>
			call(PgCalls.Read, [statement, JSON.stringify(values), floor.term, floor.position], floorReadAnswerSchema)),
		begin: async ({requestId, digest, term}, timeoutMs) => runner.run('begin', timeoutMs, async () => {
			await client.query('BEGIN');
			const answer = await call(PgCalls.BeginKey, [requestId, digest, term, Math.ceil(timeoutMs)], keyedWriteAnswerSchema);
			if (answer.result !== KeyedWriteResult.Ran) {
				await client.query('ROLLBACK');
			}

			return answer;
		}),
		run: async (statement, values, timeoutMs) => runner.run('run', timeoutMs, async () => runStatement(statement, values)),
		commit: async timeoutMs => runner.run('commit', timeoutMs, commit),
		rollback: async timeoutMs => runner.run('rollback', timeoutMs, async () => {
			await client.query('ROLLBACK');
		}),
		async close() {
			if (runner.usable && !closing) {
				closing = true;
				await withinMs(clock, CLOSE_TIMEOUT_MS, client.end());
				end('the connection was closed');
			}
		},
		destroy() {
			end('the connection was destroyed');
		},
	};
}

/** Returns the server's error for one statement; rethrows any other error, which ends the connection. */
function getServerErrorOrThrow(err: unknown): pg.DatabaseError {
	if (err instanceof pg.DatabaseError && err.severity === 'ERROR') {
		return err;
	}

	throw err;
}
