import {createDatabaseGroup, type DatabaseGroup, type DatabaseGroupOptions} from './database-group.js';
import {startPgFront, type PgFront} from './pg-front.js';

/** A stand-in group whose servers answer on PostgreSQL ports. */
export type PgGroup = {
	readonly group: DatabaseGroup;
	/** Closes the ports and ends the servers' background work. */
	stop(): Promise<void>;
};

/** What a group on ports needs. */
export type PgGroupOptions = Omit<DatabaseGroupOptions, 'addresses'> & {
	/** IP number to listen on. */
	readonly host: string;
	/** One port a server; 0: any free port. */
	readonly ports: readonly number[];
	/** Asked of every client; absent: all are trusted. */
	readonly password?: string;
};

/** Opens the ports and starts the group behind them; the first server begins as primary. */
export async function startPgGroup({host, ports, password, ...options}: PgGroupOptions): Promise<PgGroup> {
	const fronts: PgFront[] = [];
	for (const [i, port] of ports.entries()) {
		fronts.push(await startPgFront({
			host, port, password, getServer: () => group.servers[i]!,
		}));
	}

	// A server is known by its address, and a free port is known once it is open: so the ports come first.
	const group = createDatabaseGroup({...options, addresses: fronts.map(front => `${host}:${front.port}`)});
	return {
		group,
		async stop() {
			group.stop();
			for (const front of fronts) {
				await front.stop();
			}
		},
	};
}
