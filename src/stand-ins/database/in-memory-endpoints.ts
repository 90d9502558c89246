import {throwNotConnected} from '../../endpoints/endpoint-errors.js';
import type {Endpoint, Endpoints} from '../../endpoints/endpoint.js';
import type {Clock} from '../../time/clock.js';
import {withinMs} from '../../time/deadline.js';
import type {DatabaseServer} from './database-server.js';
import type {DatabaseSession} from './database-session.js';
import {createInMemoryConnection} from './in-memory-connection.js';
import {createLink, type Link} from './link-faults.js';

/** Endpoints that reach stand-in servers without a socket, as one proxy host sees them. */
export type InMemoryEndpoints = Endpoints & {
	/** The network between this host and a server, for faults. */
	getLink(address: string): Link;
};

/** What the in-memory way to the servers needs. */
export type InMemoryEndpointsOptions = {
	readonly clock: Clock;
	/** One way, in milliseconds. */
	readonly latencyMs: number;
	/** Name of the proxy host at this end; servers can be cut from it. */
	readonly host?: string;
};

/** Creates one proxy host's way to the servers. */
export function createInMemoryEndpoints(servers: readonly DatabaseServer[], {clock, latencyMs, host = 'proxy'}: InMemoryEndpointsOptions): InMemoryEndpoints {
	const serversByAddress = new Map(servers.map(server => [server.address, server]));
	const links = new Map<string, Link>();

	const getLink = (address: string) => {
		const link = links.get(address) ?? createLink(clock, latencyMs);
		links.set(address, link);
		return link;
	};

	const open = async (address: string, server: DatabaseServer): Promise<DatabaseSession> => {
		const link = getLink(address);
		await link.carry(link.epoch);
		try {
			return await server.connect(host);
		} finally {
			await link.carry(link.epoch);
		}
	};

	const getEndpoint = (address: string): Endpoint => ({
		address,
		async connect(timeoutMs) {
			const server = serversByAddress.get(address) ?? throwNotConnected(address, 'nothing listens there');
			const opening = open(address, server);
			const opened = await withinMs(clock, timeoutMs, opening).catch((err: unknown) => throwNotConnected(address, err));
			if (opened.timedOut) {
				// The server may still accept; its end must not stay open.
				opening.then(async session => session.close(), () => undefined);
				throwNotConnected(address, `not open within ${timeoutMs} ms`);
			}

			return createInMemoryConnection({
				address, session: opened.value, member: server.member, link: getLink(address), clock,
			});
		},
	});

	return {getLink, getEndpoint};
}
