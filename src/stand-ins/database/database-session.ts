import type {Clock} from '../../time/clock.js';
import {createDeadlineTimer} from '../../time/deadline-timer.js';
import type {Backend} from './backend.js';
import {throwConnectionLost} from './database-errors.js';
import type {ExchangeKind} from './exchange-kind.js';
import {waitForever} from './wait-forever.js';
import type {ServerFaults} from './server-faults.js';

/** The server's end of one connection, with the faults between it and its client. */
export type DatabaseSession = {
	/** Name of the host at the other end. */
	readonly from: string;
	readonly backend: Backend;
	/** Runs one exchange and resolves when its answer leaves the server; rejects with DatabaseError if it fails or the connection ends. */
	exchange<T>(kind: ExchangeKind, work: () => T | Promise<T>): Promise<T>;
	/** Notifies the server that the client has closed: a running exchange is completed, then an open transaction is rolled back. */
	close(): Promise<void>;
	/** Discards all later packets in both directions without notifying either end. */
	silence(): void;
	/** Ends the connection from the server's side. */
	drop(): void;
	/** Registers a listener that is called when the server ends the connection. */
	onDrop(listener: () => void): void;
};

/** Options of {@link createDatabaseSession}. */
export type DatabaseSessionOptions = {
	readonly address: string;
	readonly from: string;
	readonly clock: Clock;
	readonly faults: ServerFaults;
	/** How long a transaction may be idle before the server ends its connection, in milliseconds. */
	readonly idleInTransactionMs: number;
	/** How long the server keeps a connection after it has become silent, in milliseconds. */
	readonly keepAliveMs: number;
	createBackend(checkAlive: () => void): Backend;
	/** Called with each exchange that arrives. */
	onExchange?(kind: ExchangeKind): void;
	/** Called once, when the session ends. */
	onEnd(): void;
};

/** Opens a session. */
export function createDatabaseSession(options: DatabaseSessionOptions): DatabaseSession {
	const {address, from, clock, faults} = options;
	const listeners: Array<() => void> = [];
	let alive = true;
	let clientClosed = false;
	let silent = false;
	let active = false;

	const checkAlive = () => {
		if (!alive) {
			throwConnectionLost(address);
		}
	};

	const backend = options.createBackend(checkAlive);

	const end = () => {
		if (alive) {
			alive = false;
			idleTimer.stop();
			keepAliveTimer.stop();
			backend.rollback();
			options.onEnd();
		}
	};

	const drop = () => {
		end();
		if (!silent && !faults.isCutFrom(from)) {
			for (const listener of listeners) {
				listener();
			}
		}
	};

	const isBlocked = () => silent || faults.isCutFrom(from) || (alive && faults.frozen);

	/** Resolves once a packet can pass between the server and the client. */
	const waitUntilReachable = async () => {
		while (isBlocked()) {
			await faults.changed();
		}
	};

	/** A transaction whose client has disappeared unnoticed must not lock its key and rows forever. */
	const idleTimer = createDeadlineTimer(clock, drop);

	/** A connection that has become silent must not count towards the connection limit forever. */
	const keepAliveTimer = createDeadlineTimer(clock, drop);

	const beginExchange = () => {
		idleTimer.clear();
		active = true;
	};

	const endExchange = () => {
		active = false;
		if (clientClosed) {
			end();
		} else if (backend.inTransaction) {
			idleTimer.set(clock.now() + options.idleInTransactionMs);
		}
	};

	const waitToAnswer = async (kind: ExchangeKind) => {
		if (faults.answerDelayMs > 0) {
			await clock.sleep(faults.answerDelayMs);
		}

		if (faults.consumeDroppedAnswer(kind)) {
			await waitForever();
		}

		await waitUntilReachable();
		checkAlive();
	};

	return {
		from,
		backend,
		async exchange(kind, work) {
			await waitUntilReachable();
			checkAlive();
			options.onExchange?.(kind);
			beginExchange();
			let outcome;
			try {
				outcome = {value: await work()};
			} catch (err) {
				outcome = {err};
			}

			endExchange();
			await waitToAnswer(kind);
			if ('err' in outcome) {
				throw outcome.err;
			}

			return outcome.value;
		},
		async close() {
			await waitUntilReachable();
			clientClosed = true;
			if (!active) {
				end();
			}
		},
		silence() {
			silent = true;
			keepAliveTimer.set(clock.now() + options.keepAliveMs);
		},
		drop,
		onDrop(listener) {
			listeners.push(listener);
		},
	};
}
