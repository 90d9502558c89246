import type {Clock} from '../../time/clock.js';
import {createDeadlineTimer} from '../../time/deadline-timer.js';
import type {Backend} from './backend.js';
import {throwConnectionLost} from './database-errors.js';
import type {ExchangeKind} from './exchange-kind.js';
import {never} from './never.js';
import type {ServerFaults} from './server-faults.js';

/** One connection at the server, with the faults that lie between it and its client. */
export type DatabaseSession = {
	/** Name of the host at the other end. */
	readonly from: string;
	readonly backend: Backend;
	/** Runs one exchange: resolves when its answer leaves the server; rejects with DatabaseError for an error or a dead server. */
	exchange<T>(kind: ExchangeKind, work: () => T | Promise<T>): Promise<T>;
	/** Tells the server that the client is gone: what runs goes on to its end, an open transaction is rolled back. */
	close(): Promise<void>;
	/** Loses both directions for good without either end being told. */
	silence(): void;
	/** Ends the connection from the server's side. */
	drop(): void;
	/** Calls back when the server ends the connection. */
	onDrop(listener: () => void): void;
};

/** What a session needs of its server. */
export type DatabaseSessionOptions = {
	readonly address: string;
	readonly from: string;
	readonly clock: Clock;
	readonly faults: ServerFaults;
	/** How long a transaction may wait for its next statement, in milliseconds. */
	readonly idleInTransactionMs: number;
	/** How long the server keeps a connection that went silent, in milliseconds. */
	readonly keepAliveMs: number;
	createBackend(checkAlive: () => void): Backend;
	/** Called with each exchange that arrives. */
	onExchange?(kind: ExchangeKind): void;
	/** Called once, at the end. */
	onEnd(): void;
};

/** Opens a session. */
export function createDatabaseSession(options: DatabaseSessionOptions): DatabaseSession {
	const {address, from, clock, faults} = options;
	const listeners: Array<() => void> = [];
	let alive = true;
	let gone = false;
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
			idleWatch.stop();
			keepAliveWatch.stop();
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

	/** Resolves when a packet can pass between the server and the client. */
	const pass = async () => {
		while (isBlocked()) {
			await faults.changed();
		}
	};

	/** A transaction whose client is gone unnoticed must not hold its key and rows for ever. */
	const idleWatch = createDeadlineTimer(clock, drop);

	/** A connection that went silent must not count for ever among those granted. */
	const keepAliveWatch = createDeadlineTimer(clock, drop);

	const beginExchange = () => {
		idleWatch.clear();
		active = true;
	};

	const endExchange = () => {
		active = false;
		if (gone) {
			end();
		} else if (backend.inTransaction) {
			idleWatch.set(clock.now() + options.idleInTransactionMs);
		}
	};

	const answer = async (kind: ExchangeKind) => {
		if (faults.answerDelayMs > 0) {
			await clock.sleep(faults.answerDelayMs);
		}

		if (faults.takeDroppedAnswer(kind)) {
			await never();
		}

		await pass();
		checkAlive();
	};

	return {
		from,
		backend,
		async exchange(kind, work) {
			await pass();
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
			await answer(kind);
			if ('err' in outcome) {
				throw outcome.err;
			}

			return outcome.value;
		},
		async close() {
			await pass();
			gone = true;
			if (!active) {
				end();
			}
		},
		silence() {
			silent = true;
			keepAliveWatch.set(clock.now() + options.keepAliveMs);
		},
		drop,
		onDrop(listener) {
			listeners.push(listener);
		},
	};
}
