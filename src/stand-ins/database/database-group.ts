import type {Random} from '../../random/random.js';
import type {Clock} from '../../time/clock.js';
import {
	createDatabaseServer, DEFAULT_SERVER_PARAMETERS, type DatabaseServer, type DatabaseServerParameters,
} from './database-server.js';

/** A group of in-memory database servers that replicate from one primary. */
export type DatabaseGroup = {
	readonly servers: readonly DatabaseServer[];
	/** Returns the server at the address; throws Error if there is none. */
	getServerOrThrow(address: string): DatabaseServer;
	/** Ends the servers' connections and background work. */
	stop(): void;
};

/** Options of {@link createDatabaseGroup}. */
export type DatabaseGroupOptions = {
	/** `ip:port` of each server; the first one starts as primary at term 1. */
	readonly addresses: readonly string[];
	readonly clock: Clock;
	readonly random: Random;
	/** Parameters of all servers; absent ones take their defaults. */
	readonly serverParameters?: Partial<DatabaseServerParameters>;
};

/** Creates a group of running servers. */
export function createDatabaseGroup({addresses, clock, random, serverParameters: parameters}: DatabaseGroupOptions): DatabaseGroup {
	const servers = new Map<string, DatabaseServer>();
	for (const address of addresses) {
		servers.set(address, createDatabaseServer({
			address, clock, random, servers, serverParameters: {...DEFAULT_SERVER_PARAMETERS, ...parameters},
		}));
	}

	const [primary, ...replicas] = servers.values();
	primary?.member.fence(1);
	primary?.member.promote(1);
	for (const replica of replicas) {
		replica.member.fence(1);
		replica.member.follow(1, primary!.address);
	}

	return {
		servers: [...servers.values()],
		getServerOrThrow(address) {
			const server = servers.get(address);
			if (!server) {
				throw new Error(`no stand-in server has the address ${address}`);
			}

			return server;
		},
		stop() {
			for (const server of servers.values()) {
				server.stop();
			}
		},
	};
}
