import {Server as NetServer, type Server, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '../time/clock.js';

/** The end of a port that loses nothing of what callers have sent. */
export type LastReading = {
	/**
	 * Takes the connections that wait, closes the port to further ones, and reads until nothing comes any more and nothing
	 * is under way, or the looks are used up. Resolves in the turn of the last look, so that what is closed in it has been read.
	 */
	read(): Promise<void>;
	/** Resolves when the port is closed to further connections. */
	readonly portClosed: Promise<void>;
};

/** What the last reading needs. */
export type LastReadingOptions = {
	readonly server: Server;
	readonly clock: Clock;
	readonly isAnswering: () => boolean;
};

/**
 * Time between two looks, in milliseconds: some ways from host to host in one region, so that what had left a caller when
 * the last look began is here by its end.
 */
const LOOK_MS = 5;

/**
 * Looks at most. They are counted and not timed, since a host that is late has most to read. 40 take 200 ms where it is not,
 * a tenth of what the daemon's default bound keeps for the services' ends.
 */
const MOST_LOOKS = 40;

/** Turns at most in which waiting connections are taken: the length of the queue that the runtime has the system keep by default. */
const MOST_WAITING = 511;

/** One whole turn of the event loop, with its reading: the first part may belong to the turn that is under way. */
async function takeTurn(): Promise<void> {
	await nextTurn();
	await nextTurn();
}

/**
 * Creates the last reading of a server; from then on it counts what comes.
 *
 * Guards against a request that is ended unread: a connection is idle by what the host has read of it, and a host that is
 * late has requests in its sockets, also in those of connections that it has not taken. Their callers would see a broken
 * connection and learn nothing. A connection that brought nothing during a whole turn of reading has sent nothing.
 */
export function createLastReading({server, clock, isAnswering}: LastReadingOptions): LastReading {
	const sockets = new Set<Socket>();
	let taken = 0;
	let notePortClosed!: () => void;
	const portClosed = new Promise<void>(resolve => {
		notePortClosed = resolve;
	});
	let endedBytes = 0;

	server.on('connection', (socket: Socket) => {
		taken++;
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
			endedBytes += socket.bytesRead;
		});
	});

	/** Connections and bytes; both only grow, so that the sum stays as it is only where nothing came. */
	const countReceived = () => {
		let received = taken + endedBytes;
		for (const socket of sockets) {
			received += socket.bytesRead;
		}

		return received;
	};

	const look = async () => {
		await clock.sleep(LOOK_MS);
		await takeTurn();
	};

	/**
	 * Guards against connections that are reset though a request was sent on them: closing the port drops those that wait to be
	 * taken, and the event loop takes but one a turn. A turn that takes none has found none.
	 */
	const takeWaiting = async () => {
		for (let turns = 0; turns < MOST_WAITING; turns++) {
			const before = taken;
			// Also where time is virtual, a turn must be due to something that sleeps.
			await clock.sleep(0);
			await takeTurn();
			if (taken === before) {
				return;
			}
		}
	};

	return {
		portClosed,
		async read() {
			await look();
			await takeWaiting();
			// Not the HTTP server's own `close`, which ends idle connections at once.
			NetServer.prototype.close.call(server);
			notePortClosed();
			for (let looks = 1; looks < MOST_LOOKS; looks++) {
				const before = countReceived();
				await look();
				if (!isAnswering() && countReceived() === before) {
					return;
				}
			}
		},
	};
}
