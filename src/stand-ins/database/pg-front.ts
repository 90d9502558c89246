import {Buffer} from 'node:buffer';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {DatabaseErrorCode, isDatabaseError} from './database-errors.js';
import type {DatabaseServer} from './database-server.js';
import type {DatabaseSession} from './database-session.js';
import {createPgBackend} from './pg-backend.js';
import {
	AUTHENTICATION_OK, decodeStartup, decodeStartupCode, decodeString, encodeError, encodeParameter, encodeReady, FrontendMessage, PASSWORD_WANTED,
	SSL_REFUSED, StartupCode, TransactionStatus,
} from './pg-messages.js';
import {createPgReader, type PgReader} from './pg-reader.js';

/** A stand-in server's PostgreSQL port: just enough of the protocol for the `pg` client. */
export type PgFront = {
	readonly port: number;
	/** Closes the port and every connection. */
	stop(): Promise<void>;
};

/** What a PostgreSQL port needs. */
export type PgFrontOptions = {
	/** The server behind the port; asked for at each connection. */
	getServer(): DatabaseServer;
	/** IP number to listen on. */
	readonly host: string;
	/** 0: any free port. */
	readonly port: number;
	/** Asked of every client; absent: all are trusted. */
	readonly password?: string;
};

/** Opens a stand-in server's port. */
export async function startPgFront({getServer, host, port, password}: PgFrontOptions): Promise<PgFront> {
	const sockets = new Set<Socket>();
	const listener = createServer(socket => {
		sockets.add(socket);
		socket.setNoDelay(true);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		// A broken connection shows as its closing.
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

/** The task of one connection, from its first byte to its last. */
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

/** Reads the startup; answers the name that the client gives itself, undefined where it left or has no right to enter. */
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
		socket.write(PASSWORD_WANTED);
		const answer = await reader.next();
		if (!answer || decodeString(answer.body, 0).text !== password) {
			socket.end(encodeError('FATAL', '28P01', 'password authentication failed'));
			return undefined;
		}
	}

	return decodeStartup(startup).get('application_name') ?? '';
}
