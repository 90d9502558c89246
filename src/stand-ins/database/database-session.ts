import type {Clock} from '../../time/clock.js';
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
	/** Notes that the client is gone: what runs goes on to its end, an open transaction is rolled back. */
	close(): void;
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
	let idle = new AbortController();

	const checkAlive = () => {
		if (!alive) {
			throwConnectionLost(address);
		}
	};

	const backend = options.createBackend(checkAlive);

	const end = () => {
		if (alive) {
			alive = false;
			idle.abort();
			backend.rollback();
			options.onEnd();
		}
	};

	const drop = () => {
		end();
		if (!silent) {
			for (const listener of listeners) {
				listener();
			}
		}
	};

	const isBlocked = () => alive && (silent || faults.frozen || faults.isCutFrom(from));

	/** Resolves when a packet can pass between the server and the client. */
	const pass = async () => {
		while (isBlocked()) {
			await faults.changed();
		}

		checkAlive();
	};

	const watchIdleTransaction = async () => {
		const {signal} = idle;
		await clock.sleep(options.idleInTransactionMs, signal);
		if (!signal.aborted) {
			drop();
		}
	};

	const beginExchange = () => {
		idle.abort();
		active = true;
	};

	const endExchange = () => {
		active = false;
		if (gone) {
			end();
		} else if (backend.inTransaction) {
			idle = new AbortController();
			void watchIdleTransaction();
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
	};

	return {
		from,
		backend,
		async exchange(kind, work) {
			await pass();
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
		close() {
			gone = true;
			if (!active) {
				end();
			}
		},
		silence() {
			silent = true;
			void clock.sleep(options.keepAliveMs).then(drop);
		},
		drop,
		onDrop(listener) {
			listeners.push(listener);
		},
	};
}
