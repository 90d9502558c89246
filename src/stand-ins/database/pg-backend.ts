import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {KeyedWriteResult} from '../../endpoints/endpoint.js';
import {DatabaseErrorCode, isDatabaseError} from './database-errors.js';
import type {DatabaseServer} from './database-server.js';
import type {DatabaseSession} from './database-session.js';
import {ExchangeKind} from './exchange-kind.js';
import {getPgExchange} from './pg-exchanges.js';
import {
	BIND_COMPLETE, CLOSE_COMPLETE, decodeBind, decodeString, encodeCommandComplete, encodeDataRow, encodeError, encodeReady,
	FrontendMessage, NO_DATA, PARSE_COMPLETE, ROW_DESCRIPTION, TransactionStatus, type BindMessage, type ClientMessage,
} from './pg-messages.js';

/** First byte of a Describe message that asks for a portal. */
const PORTAL = 'P'.codePointAt(0);

/** Answers the messages of one client after the startup of its connection. */
export type PgBackend = {
	/** Processes one message; resolves once its answer, if it has one, is buffered or written. */
	answer(message: ClientMessage): Promise<void>;
};

/** Options of {@link createPgBackend}. */
export type PgBackendOptions = {
	readonly socket: Socket;
	readonly session: DatabaseSession;
	readonly server: DatabaseServer;
};

/** Creates the backend of a connection. */
export function createPgBackend({socket, session, server}: PgBackendOptions): PgBackend {
	const statements = new Map<string, string>();
	let bound: BindMessage | undefined;
	let output: Uint8Array[] = [];
	let transaction: TransactionStatus = TransactionStatus.Idle;
	/** True after an error: all messages up to the next Sync are skipped, as the protocol requires. */
	let failed = false;

	const flush = () => {
		socket.write(Buffer.concat(output));
		output = [];
	};

	const sendReady = () => {
		output.push(encodeReady(transaction));
		flush();
		failed = false;
	};

	const addError = (err: unknown) => {
		if (!isDatabaseError(err) || err.code === DatabaseErrorCode.ConnectionLost) {
			throw err;
		}

		failed = true;
		transaction = transaction === TransactionStatus.Idle ? TransactionStatus.Idle : TransactionStatus.Failed;
		output.push(encodeError('ERROR', err.code, err.message));
	};

	const commit = async () => {
		const isEmpty = transaction === TransactionStatus.Open && !session.backend.inTransaction;
		transaction = TransactionStatus.Idle;
		const result = isEmpty
			? KeyedWriteResult.Ran
			: await session.exchange(ExchangeKind.Commit, async () => {
				const committed = await session.backend.commit();
				return committed.result;
			});
		if (result === KeyedWriteResult.NotPrimary) {
			output.push(encodeError('ERROR', DatabaseErrorCode.NotPrimary, 'cannot commit: not primary at the transaction\'s term'));
		} else {
			output.push(encodeCommandComplete(result === KeyedWriteResult.Ran ? 'COMMIT' : 'ROLLBACK'));
		}
	};

	const rollback = async () => {
		transaction = TransactionStatus.Idle;
		await session.exchange(ExchangeKind.Rollback, () => {
			session.backend.rollback();
		});
		output.push(encodeCommandComplete('ROLLBACK'));
	};

	const runCommand = async (text: string) => {
		const command = text.trim().split(/\W/v)[0]!.toUpperCase();
		if (command === 'COMMIT') {
			await commit();
			return;
		}

		if (command === 'ROLLBACK') {
			await rollback();
			return;
		}

		await session.exchange(ExchangeKind.Command, () => undefined);
		if (command === 'BEGIN') {
			transaction = TransactionStatus.Open;
		}

		output.push(encodeCommandComplete(command));
	};

	const execute = async ({statement, values}: BindMessage) => {
		const text = statements.get(statement) ?? '';
		const {kind, work} = getPgExchange(text, session, server.member, values);
		const answer = await session.exchange(kind, work);
		output.push(encodeDataRow(JSON.stringify(answer)), encodeCommandComplete(text.startsWith('CALL') ? 'CALL' : 'SELECT 1'));
	};

	const parse = (body: Uint8Array) => {
		const name = decodeString(body, 0);
		statements.set(name.text, decodeString(body, name.next).text);
		output.push(PARSE_COMPLETE);
	};

	const answerExtended = async ({type, body}: ClientMessage) => {
		switch (type) {
			case FrontendMessage.Parse: {
				parse(body);
				break;
			}

			case FrontendMessage.Bind: {
				bound = decodeBind(body);
				output.push(BIND_COMPLETE);
				break;
			}

			case FrontendMessage.Describe: {
				output.push(body[0] === PORTAL ? ROW_DESCRIPTION : NO_DATA);
				break;
			}

			case FrontendMessage.Execute: {
				await execute(bound!);
				break;
			}

			case FrontendMessage.Close: {
				output.push(CLOSE_COMPLETE);
				break;
			}

			default:
		}
	};

	const answerQuery = async (body: Uint8Array) => {
		try {
			await runCommand(decodeString(body, 0).text);
		} catch (err) {
			addError(err);
		}

		sendReady();
	};

	return {
		async answer(message) {
			if (message.type === FrontendMessage.Sync) {
				sendReady();
				return;
			}

			if (message.type === FrontendMessage.Query) {
				await answerQuery(message.body);
				return;
			}

			if (!failed) {
				try {
					await answerExtended(message);
				} catch (err) {
					addError(err);
				}
			}
		},
	};
}
