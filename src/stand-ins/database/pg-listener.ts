import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {DatabaseErrorCode, isDatabaseError} from './database-errors.js';
import type {DatabaseServer} from './database-server.js';
import type {DatabaseSession} from './database-session.js';
import {createPgBackend} from './pg-backend.js';
import {
	AUTHENTICATION_OK, decodeStartup, decodeStartupCode, decodeString, encodeError, encodeParameter, encodeReady, FrontendMessage, PASSWORD_REQUESTED,
	SSL_REFUSED, StartupCode, TransactionStatus,
} from './pg-messages.js';
import {createPgReader, type PgReader} from './pg-reader.js';

/** The PostgreSQL port of a stand-in server; it supports as much of the protocol as the `pg` client needs. */
export type PgListener = {
	readonly port: number;
	/** Closes the port and every connection. */
	stop(): Promise<void>;
};

/** Options of {@link startPgListener}. */
export type PgListenerOptions = {
	/** Returns the server behind the port; called for each connection. */
	getServer(): DatabaseServer;
	/** IP address to listen on. */
	readonly host: string;
	/** Port to listen on; 0: any free port. */
	readonly port: number;
	/** Password required of every client; absent: none is required. */
	readonly password?: string;
};

/** Opens the PostgreSQL port of a stand-in server. */
export async function startPgListener({getServer, host, port, password}: PgListenerOptions): Promise<PgListener> {
	const sockets = new Set<Socket>();
	const listener = createServer(socket => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		// An error is followed by the close event, which is handled above.
		socket.on('error', () => undefined);
		void serveSocket(socket, getServer(), password);
	});
	await listen(listener, host, port);

	return {
		port: (listener.address() as AddressInfo).port,
		async stop() {
			const closed = new Promise(resolve => {
				listener.close(resolve);
			});
			for (const socket of sockets) {
				socket.destroy();
			}

			await closed;
		},
	};
}

async function listen(listener: Server, host: string, port: number) {
	await new Promise<void>((resolve, reject) => {
		listener.once('error', reject);
		listener.listen(port, host, resolve);
	});
}

/** Serves one connection from its startup until it closes. */
async function serveSocket(socket: Socket, server: DatabaseServer, password: string | undefined) {
	let session: DatabaseSession | undefined;
	try {
		const reader = createPgReader(socket);
		const from = await startUp(socket, reader, password);
		if (from === undefined) {
			return;
		}

		session = await server.connect(from);
		const opened = session;
		socket.on('close', () => {
			void opened.close();
		});
		opened.onDrop(() => {
			socket.destroy();
		});
		socket.write(Buffer.concat([AUTHENTICATION_OK, encodeParameter('server_version', '16.0'), encodeReady(TransactionStatus.Idle)]));
		await serveMessages(socket, reader, opened, server);
	} catch (err) {
		if (!isDatabaseError(err)) {
			throw err;
		}

		if (err.code === DatabaseErrorCode.TooManyConnections) {
			socket.end(encodeError('FATAL', err.code, err.message));
		}
	} finally {
		socket.destroySoon();
	}
}

async function serveMessages(socket: Socket, reader: PgReader, session: DatabaseSession, server: DatabaseServer) {
	const backend = createPgBackend({socket, session, server});
	let message = await reader.next();
	while (message && message.type !== FrontendMessage.Terminate) {
		await backend.answer(message);
		message = await reader.next();
	}
}

/** Runs the startup of a connection; resolves with the client's application name, or with undefined if the client has closed or was refused. */
async function startUp(socket: Socket, reader: PgReader, password: string | undefined): Promise<string | undefined> {
	let startup = await reader.nextStartup();
	while (startup && decodeStartupCode(startup) === StartupCode.Ssl) {
		socket.write(SSL_REFUSED);
		startup = await reader.nextStartup();
	}

	if (!startup || decodeStartupCode(startup) !== StartupCode.Protocol3) {
		return undefined;
	}

	if (password !== undefined) {
		socket.write(PASSWORD_REQUESTED);
		const answer = await reader.next();
		if (!answer || decodeString(answer.body, 0).text !== password) {
			socket.end(encodeError('FATAL', '28P01', 'password authentication failed'));
			return undefined;
		}
	}

	return decodeStartup(startup).get('application_name') ?? '';
}
