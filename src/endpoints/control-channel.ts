import type {Clock} from '../time/clock.js';
import type {Endpoint, EndpointConnection} from './endpoint.js';

/** One connection to a database server, apart from the pool, for the proxy's own exchanges one after another. */
export type ControlChannel = {
	/** Runs an exchange when its turn comes, opening the connection where need be. */
	run<T>(exchange: (connection: EndpointConnection) => Promise<T>): Promise<T>;
	close(): Promise<void>;
};

/**
 * Longest time to open the connection, in milliseconds: short at first, so that a silent server holds up no failover,
 * and doubled by each failure up to a bound that a server in another region meets.
 */
const FIRST_CONNECT_MS = 150;
const LONGEST_CONNECT_MS = 600;

/** Creates a channel; the connection is opened by the first exchange and anew after a failure. */
export function createControlChannel(endpoint: Endpoint, clock: Clock): ControlChannel {
	let connection: EndpointConnection | undefined;
	let last: Promise<unknown> = Promise.resolve();
	let closed = false;
	let connectMs = FIRST_CONNECT_MS;

	const open = async () => {
		try {
			const opened = await endpoint.connect(connectMs);
			connectMs = FIRST_CONNECT_MS;
			return opened;
		} catch (err) {
			connectMs = Math.min(LONGEST_CONNECT_MS, connectMs * 2);
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
			// The exchange in flight rejects at once; nothing is left behind.
			await Promise.race([last.catch(() => undefined), clock.sleep(LONGEST_CONNECT_MS)]);
		},
	};
}
