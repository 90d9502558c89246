import {Socket} from 'node:net';
import pg from 'pg';
import type {Clock} from '../time/clock.js';
import {withinMs} from '../time/deadline.js';
import {throwNotConnected} from './endpoint-errors.js';
import type {Endpoint, Endpoints} from './endpoint.js';
import {createPgConnection} from './pg-connection.js';

/** Credentials and settings for connecting to the database servers. */
export type PgEndpointsOptions = {
	readonly user: string;
	readonly password: string;
	readonly database: string;
	readonly clock: Clock;
	/** Application name that this host reports to the servers. */
	readonly applicationName?: string;
};

/** Creates endpoints that connect over the PostgreSQL protocol. */
export function createPgEndpoints({user, password, database, clock, applicationName = 'aldercroft'}: PgEndpointsOptions): Endpoints {
	const createClient = (address: string, socket: Socket) => {
		const portAt = address.lastIndexOf(':');
		return new pg.Client({
			host: address.slice(0, portAt),
			port: Number(address.slice(portAt + 1)),
			user,
			password,
			database,
			application_name: applicationName,
			keepAlive: true,
			ssl: false,
			stream: () => socket,
		});
	};

	const getEndpoint = (address: string): Endpoint => ({
		address,
		async connect(timeoutMs) {
			const socket = new Socket();
			const client = createClient(address, socket);
			const ignore = () => undefined;
			client.on('error', ignore);
			try {
				const opened = await withinMs(clock, timeoutMs, client.connect());
				if (!opened.timedOut) {
					return createPgConnection({
						address, client, socket, clock,
					});
				}
			} catch (err) {
				socket.destroy();
				throwNotConnected(address, err);
			}

			socket.destroy();
			return throwNotConnected(address, `not open within ${timeoutMs} ms`);
		},
	});

	return {getEndpoint};
}
