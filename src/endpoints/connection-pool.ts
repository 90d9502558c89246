import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {Random} from '../random/random.js';
import type {Endpoint, EndpointConnection, EndpointStatus} from './endpoint.js';
import {throwNotConnected} from './endpoint-errors.js';

/** A bounded set of connections to one database server, each used by one request or transaction at a time. */
export type ConnectionPool = {
	/** Resolves with a connection by `deadlineAt`; rejects with EndpointError (`sent: false`) where none is available. */
	acquire(deadlineAt: number): Promise<EndpointConnection>;
	/** Returns a connection to the pool; one that is no longer usable is dropped. */
	release(connection: EndpointConnection): void;
	/** Changes the maximum number of open connections. */
	setLimit(limit: number): void;
	getLoad(): PoolLoad;
	/** Closes the idle connections now and the acquired ones once they are released; further requests to acquire one are rejected. */
	close(): Promise<void>;
};

/** The number of connections of a pool by state, of the requests that wait for one, and its limit. */
export type PoolLoad = {
	readonly idle: number;
	/** Connections that are acquired, including those that are checked before use. */
	readonly lent: number;
	readonly waiting: number;
	readonly limit: number;
};

/** What a pool needs. */
export type ConnectionPoolOptions = {
	readonly endpoint: Endpoint;
	readonly limit: number;
	readonly clock: Clock;
	readonly random: Random;
	/** Called with the status of each successful health check. */
	onStatus?(status: EndpointStatus): void;
	/** Called after each failed connection attempt or health check. */
	onFailure?(): void;
};

/** Timeout for opening a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** Idle time after which a connection is checked before it is used, in milliseconds. */
const HEALTH_CHECK_IDLE_MS = 1000;

/** Timeout for a health check, in milliseconds. */
const HEALTH_CHECK_TIMEOUT_MS = 250;

/** Bounds of the backoff after a refused connection, in milliseconds. */
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1000;

type IdleConnection = {
	readonly connection: EndpointConnection;
	readonly since: number;
};

type Waiter = {
	readonly deadlineAt: number;
	/** Makes the waiter try again. */
	wake(): void;
};

/** Creates a pool without connections; they are opened as they are needed. */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
	const {endpoint, clock, random} = options;
	const idle: IdleConnection[] = [];
	const acquired = new Set<EndpointConnection>();
	const waiters: Waiter[] = [];
	let opening = 0;
	let limit = Math.max(1, options.limit);
	let closed = false;
	let backoffMs = 0;
	let backoffUntil = 0;

	const wakeOne = () => {
		waiters.shift()?.wake();
	};

	const noteRefused = (now: number) => {
		backoffMs = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, backoffMs * 2));
		backoffUntil = now + (backoffMs * (0.5 + (random.fraction() / 2)));
		options.onFailure?.();
	};

	const open = async () => {
		opening++;
		try {
			const connection = await endpoint.connect(CONNECT_TIMEOUT_MS);
			backoffMs = 0;
			backoffUntil = 0;
			return connection;
		} catch (err) {
			noteRefused(clock.now());
			throw err;
		} finally {
			opening--;
		}
	};

	// Guards against a connection that went silent while it was idle: requests on it would hang until their
	// deadline. A short exchange detects it first, since a live server answers in milliseconds.
	const isHealthy = async ({connection, since}: IdleConnection, now: number) => {
		if (now - since < HEALTH_CHECK_IDLE_MS) {
			return true;
		}

		try {
			const status = await connection.status(HEALTH_CHECK_TIMEOUT_MS);
			options.onStatus?.(status);
			return connection.usable;
		} catch {
			connection.destroy();
			options.onFailure?.();
			return false;
		}
	};

	const takeIdle = async () => {
		for (let candidate = idle.pop(); candidate; candidate = idle.pop()) {
			if (!candidate.connection.usable) {
				continue;
			}

			// Counts as acquired while it is checked, so that the limit holds.
			acquired.add(candidate.connection);
			if (await isHealthy(candidate, clock.now())) {
				return candidate.connection;
			}

			acquired.delete(candidate.connection);
		}

		return undefined;
	};

	const waitForTurn = async (deadlineAt: number) => {
		const abort = new AbortController();
		const waiter: Waiter = {
			deadlineAt,
			wake() {
				abort.abort();
			},
		};
		waiters.push(waiter);
		await clock.sleep(deadlineAt - clock.now(), abort.signal);
		const index = waiters.indexOf(waiter);
		if (index !== -1) {
			waiters.splice(index, 1);
		}
	};

	const hasCapacity = () => acquired.size + idle.length + opening < limit;

	const keepIdleOrClose = (connection: EndpointConnection) => {
		if (connection.usable && !closed && hasCapacity()) {
			idle.push({connection, since: clock.now()});
		} else if (connection.usable) {
			void connection.close();
		}

		wakeOne();
	};

	// Guards against short deadlines: a connection that is not open by one caller's deadline was not refused by the
	// server. Opening it goes on, for later callers.
	const openBy = async (deadlineAt: number) => {
		const opening = open();
		const opened = await withinMs(clock, deadlineAt - clock.now(), opening);
		if (!opened.timedOut) {
			acquired.add(opened.value);
			return opened.value;
		}

		opening.then(keepIdleOrClose, wakeOne);
		return throwNotConnected(endpoint.address, new Error('it was not open by the deadline'));
	};

	const acquireOrWait = async (deadlineAt: number) => {
		while (!closed) {
			const connection = await takeIdle();
			if (connection) {
				return connection;
			}

			const now = clock.now();
			if (now >= deadlineAt) {
				break;
			}

			if (now < backoffUntil) {
				throwNotConnected(endpoint.address, new Error('it refused connections a moment ago'));
			}

			if (hasCapacity()) {
				return openBy(deadlineAt);
			}

			await waitForTurn(deadlineAt);
		}

		return throwNotConnected(endpoint.address, new Error(closed ? 'the pool is closed' : 'every connection was lent until the deadline'));
	};

	return {
		async acquire(deadlineAt) {
			try {
				return await acquireOrWait(deadlineAt);
			} catch (err) {
				// Guards against waiters that are never woken: a connection that could not be opened, or was lost, frees capacity
				// without a release, and they would wait until their deadlines.
				if (idle.length > 0 || hasCapacity()) {
					wakeOne();
				}

				throw err;
			}
		},
		release(connection) {
			acquired.delete(connection);
			keepIdleOrClose(connection);
		},
		setLimit(next) {
			limit = Math.max(1, next);
			wakeOne();
		},
		getLoad: () => ({
			idle: idle.length, lent: acquired.size, waiting: waiters.length, limit,
		}),
		async close() {
			closed = true;
			while (waiters.length > 0) {
				wakeOne();
			}

			await Promise.all(idle.splice(0).map(async ({connection}) => connection.close()));
		},
	};
}
