import {createDatabaseGroup, type DatabaseGroup, type DatabaseGroupOptions} from './database-group.js';
import {startPgListener, type PgListener} from './pg-listener.js';

/** A stand-in group whose servers listen on PostgreSQL ports. */
export type PgGroup = {
	readonly group: DatabaseGroup;
	/** Closes the ports and ends the servers' connections and background work. */
	stop(): Promise<void>;
};

/** Options of {@link startPgGroup}. */
export type PgGroupOptions = Omit<DatabaseGroupOptions, 'addresses'> & {
	/** IP address to listen on. */
	readonly host: string;
	/** One port per server; 0: any free port. */
	readonly ports: readonly number[];
	/** Password required of every client; absent: none is required. */
	readonly password?: string;
};

/** Opens the ports and starts the group behind them; the first server starts as primary. */
export async function startPgGroup({host, ports, password, ...options}: PgGroupOptions): Promise<PgGroup> {
	const listeners: PgListener[] = [];
	for (const [i, port] of ports.entries()) {
		listeners.push(await startPgListener({
			host, port, password, getServer: () => group.servers[i]!,
		}));
	}

	// A server's address includes its port, and a free port is known only once it is open, so the ports are opened first.
	const group = createDatabaseGroup({...options, addresses: listeners.map(listener => `${host}:${listener.port}`)});
	return {
		group,
		async stop() {
			group.stop();
			for (const listener of listeners) {
				await listener.stop();
			}
		},
	};
}
