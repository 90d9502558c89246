import {Server as NetServer, type Server, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '../time/clock.js';

/** Closes a port and reads what callers have sent, so that no request is lost unread. */
export type FinalRead = {
	/**
	 * Accepts the connections that wait, closes the port to further ones, and reads until nothing more arrives and no
	 * request is in progress, or the polls are used up. Resolves in the same turn of the event loop as the last poll, so
	 * that connections closed in that turn have been read.
	 */
	read(): Promise<void>;
	/** Resolves when the port is closed to further connections. */
	readonly portClosed: Promise<void>;
};

/** Options of {@link createFinalRead}. */
export type FinalReadOptions = {
	readonly server: Server;
	readonly clock: Clock;
	readonly isAnswering: () => boolean;
};

/**
 * Time between two polls, in milliseconds: several times the latency between hosts of one region, so that what a caller
 * had sent when the last poll began has arrived by its end.
 */
const POLL_INTERVAL_MS = 5;

/**
 * Maximum number of polls. They are counted and not timed, since a host that runs late has most to read. 40 polls take
 * 200 ms on a host that does not, a tenth of the time that the daemon's default bound reserves for stopping its services.
 */
const MAX_POLLS = 40;

/** Maximum number of turns in which waiting connections are accepted: the default length of the runtime's listen backlog. */
const MAX_ACCEPT_TURNS = 511;

/** Waits for one full turn of the event loop with its reads; the first wait may end in the current turn. */
async function waitFullTurn(): Promise<void> {
	await nextTurn();
	await nextTurn();
}

/**
 * Creates the final read of a server, and counts what the server receives from then on.
 *
 * Guards against closing a connection with an unread request: a connection counts as idle by what the host has read from
 * it, and a host that runs late has unread requests in its sockets, also in those of connections that it has not accepted.
 * Their callers would see a broken connection and get no response. A connection from which nothing was read during a full
 * turn has sent nothing.
 */
export function createFinalRead({server, clock, isAnswering}: FinalReadOptions): FinalRead {
	const sockets = new Set<Socket>();
	let acceptedCount = 0;
	let resolvePortClosed!: () => void;
	const portClosed = new Promise<void>(resolve => {
		resolvePortClosed = resolve;
	});
	let endedBytes = 0;

	server.on('connection', (socket: Socket) => {
		acceptedCount++;
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
			endedBytes += socket.bytesRead;
		});
	});

	/** Returns the sum of connections and bytes received; both only grow, so an unchanged sum means that nothing arrived. */
	const countReceived = () => {
		let received = acceptedCount + endedBytes;
		for (const socket of sockets) {
			received += socket.bytesRead;
		}

		return received;
	};

	const poll = async () => {
		await clock.sleep(POLL_INTERVAL_MS);
		await waitFullTurn();
	};

	/**
	 * Guards against resetting connections on which a request was sent: closing the port drops those that wait to be
	 * accepted, and the event loop accepts only one per turn. A turn that accepts none has found none waiting.
	 */
	const acceptWaiting = async () => {
		for (let turns = 0; turns < MAX_ACCEPT_TURNS; turns++) {
			const before = acceptedCount;
			// With virtual time, too, a turn only happens when something sleeps.
			await clock.sleep(0);
			await waitFullTurn();
			if (acceptedCount === before) {
				return;
			}
		}
	};

	return {
		portClosed,
		async read() {
			await poll();
			await acceptWaiting();
			// Not the HTTP server's own `close`, which ends idle connections at once.
			NetServer.prototype.close.call(server);
			resolvePortClosed();
			for (let polls = 1; polls < MAX_POLLS; polls++) {
				const before = countReceived();
				await poll();
				if (!isAnswering() && countReceived() === before) {
					return;
				}
			}
		},
	};
}
