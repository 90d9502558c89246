import type {Clock} from '../time/clock.js';
import type {Endpoint, EndpointConnection} from './endpoint.js';

/** One connection to a database server, outside the pool, for the proxy's own exchanges, which run one after another. */
export type ControlChannel = {
	/** Runs an exchange once all earlier ones have ended, and opens the connection first where necessary. */
	run<T>(exchange: (connection: EndpointConnection) => Promise<T>): Promise<T>;
	/** Destroys the connection; an exchange in flight rejects at once. */
	close(): Promise<void>;
};

/**
 * Bounds of the timeout for opening the connection, in milliseconds: short at first, so that a silent server delays no failover,
 * and doubled by each failure up to a bound that a server in another region meets.
 */
const MIN_CONNECT_TIMEOUT_MS = 150;
const MAX_CONNECT_TIMEOUT_MS = 600;

/** Creates a channel; the first exchange opens the connection, and the next one after a failure reopens it. */
export function createControlChannel(endpoint: Endpoint, clock: Clock): ControlChannel {
	let connection: EndpointConnection | undefined;
	let last: Promise<unknown> = Promise.resolve();
	let closed = false;
	let connectTimeoutMs = MIN_CONNECT_TIMEOUT_MS;

	const open = async () => {
		try {
			const opened = await endpoint.connect(connectTimeoutMs);
			connectTimeoutMs = MIN_CONNECT_TIMEOUT_MS;
			return opened;
		} catch (err) {
			connectTimeoutMs = Math.min(MAX_CONNECT_TIMEOUT_MS, connectTimeoutMs * 2);
			throw err;
		}
	};

	const getConnection = async () => {
		if (!connection?.usable) {
			connection = await open();
		}

		return connection;
	};

	return {
		async run(exchange) {
			const turn = last.catch(() => undefined).then(async () => {
				const current = await getConnection();
				try {
					return await exchange(current);
				} finally {
					if (closed) {
						current.destroy();
					}
				}
			});
			last = turn;
			return turn;
		},
		async close() {
			closed = true;
			connection?.destroy();
			// The exchange in flight rejects at once; it is awaited so that nothing runs on after the close.
			await Promise.race([last.catch(() => undefined), clock.sleep(MAX_CONNECT_TIMEOUT_MS)]);
		},
	};
}
