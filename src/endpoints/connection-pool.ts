import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import type {Random} from '../random/random.js';
import type {Endpoint, EndpointConnection, EndpointStatus} from './endpoint.js';
import {throwNotConnected} from './endpoint-errors.js';

/** A bounded set of connections to one database server, each lent to one request or transaction at a time. */
export type ConnectionPool = {
	/** Lends a connection by `deadlineAt`; rejects with EndpointError (`sent: false`) where none can be had. */
	acquire(deadlineAt: number): Promise<EndpointConnection>;
	/** Takes a connection back; one that is no longer usable is forgotten. */
	release(connection: EndpointConnection): void;
	/** Changes how many connections may be open. */
	setLimit(limit: number): void;
	getLoad(): PoolLoad;
	/** Closes the idle connections now and the lent ones as they come back; nothing is lent any more. */
	close(): Promise<void>;
};

/** How many connections a pool has. */
export type PoolLoad = {
	readonly idle: number;
	readonly lent: number;
	readonly waiting: number;
	readonly limit: number;
};

/** What a pool is made from. */
export type ConnectionPoolOptions = {
	readonly endpoint: Endpoint;
	readonly limit: number;
	readonly clock: Clock;
	readonly random: Random;
	/** Told of each status that a health check brings, and of each failure to connect. */
	onStatus?(status: EndpointStatus): void;
	onFailure?(): void;
};

/** Longest time to open a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** A connection idle for longer than this is checked before it is lent, in milliseconds. */
const HEALTH_CHECK_IDLE_MS = 1000;

/** Longest time for a health check, in milliseconds. */
const HEALTH_CHECK_TIMEOUT_MS = 250;

/** Bounds of the pause after a refused connection, in milliseconds. */
const SHORTEST_BACKOFF_MS = 20;
const LONGEST_BACKOFF_MS = 1000;

type IdleConnection = {
	readonly connection: EndpointConnection;
	readonly since: number;
};

type Waiter = {
	readonly deadlineAt: number;
	/** Lets the waiter look again. */
	wake(): void;
};

/** Creates a pool without connections; they are opened as they are needed. */
export function createConnectionPool(options: ConnectionPoolOptions): ConnectionPool {
	const {endpoint, clock, random} = options;
	const idle: IdleConnection[] = [];
	const lent = new Set<EndpointConnection>();
	const waiters: Waiter[] = [];
	let opening = 0;
	let limit = Math.max(1, options.limit);
	let closed = false;
	let backoffMs = 0;
	let closedUntil = 0;

	const wakeOne = () => {
		waiters.shift()?.wake();
	};

	const noteRefused = (now: number) => {
		backoffMs = Math.min(LONGEST_BACKOFF_MS, Math.max(SHORTEST_BACKOFF_MS, backoffMs * 2));
		closedUntil = now + (backoffMs * (0.5 + (random.fraction() / 2)));
		options.onFailure?.();
	};

	const open = async () => {
		opening++;
		try {
			const connection = await endpoint.connect(CONNECT_TIMEOUT_MS);
			backoffMs = 0;
			closedUntil = 0;
			return connection;
		} catch (err) {
			noteRefused(clock.now());
			throw err;
		} finally {
			opening--;
		}
	};

	// Guards against a connection that went silent while it idled: requests on it would hang until their
	// deadline. A short exchange first finds it out, since a live server answers in milliseconds.
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

			// Counted as lent while it is checked, so that the limit holds.
			lent.add(candidate.connection);
			if (await isHealthy(candidate, clock.now())) {
				return candidate.connection;
			}

			lent.delete(candidate.connection);
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

	const isRoomForOne = () => lent.size + idle.length + opening < limit;

	const keep = (connection: EndpointConnection) => {
		if (connection.usable && !closed && isRoomForOne()) {
			idle.push({connection, since: clock.now()});
		} else if (connection.usable) {
			void connection.close();
		}

		wakeOne();
	};

	// Guards against callers in a hurry: a connection that is not open by one caller's deadline is no refusal by the
	// server. It is opened on, for those who come after.
	const openBy = async (deadlineAt: number) => {
		const opening = open();
		const opened = await withinMs(clock, deadlineAt - clock.now(), opening);
		if (!opened.timedOut) {
			lent.add(opened.value);
			return opened.value;
		}

		opening.then(keep, wakeOne);
		return throwNotConnected(endpoint.address, new Error('it was not open by the deadline'));
	};

	const lend = async (deadlineAt: number) => {
		while (!closed) {
			const connection = await takeIdle();
			if (connection) {
				return connection;
			}

			const now = clock.now();
			if (now >= deadlineAt) {
				break;
			}

			if (now < closedUntil) {
				throwNotConnected(endpoint.address, new Error('it refused connections a moment ago'));
			}

			if (isRoomForOne()) {
				return openBy(deadlineAt);
			}

			await waitForTurn(deadlineAt);
		}

		return throwNotConnected(endpoint.address, new Error(closed ? 'the pool is closed' : 'every connection was lent until the deadline'));
	};

	return {
		async acquire(deadlineAt) {
			try {
				return await lend(deadlineAt);
			} catch (err) {
				// Guards against waiters that nobody wakes: a connection that could not be opened, or was lost, leaves room
				// that no release tells of, and they would stand until their deadlines.
				if (idle.length > 0 || isRoomForOne()) {
					wakeOne();
				}

				throw err;
			}
		},
		release(connection) {
			lent.delete(connection);
			keep(connection);
		},
		setLimit(next) {
			limit = Math.max(1, next);
			wakeOne();
		},
		getLoad: () => ({
			idle: idle.length, lent: lent.size, waiting: waiters.length, limit,
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
