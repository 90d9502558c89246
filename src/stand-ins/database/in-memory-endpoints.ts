import {throwNotConnected} from '../../endpoints/endpoint-errors.js';
import type {Endpoint, Endpoints} from '../../endpoints/endpoint.js';
import type {Clock} from '../../time/clock.js';
import {withinMs} from '../../time/deadline.js';
import type {DatabaseServer} from './database-server.js';
import type {DatabaseSession} from './database-session.js';
import {createInMemoryConnection} from './in-memory-connection.js';
import {createLink, type Link} from './link-faults.js';

/** Endpoints of one proxy host that reach the stand-in servers without sockets. */
export type InMemoryEndpoints = Endpoints & {
	/** Returns the network link between this host and a server, on which faults can be injected. */
	getLink(address: string): Link;
};

/** Options of {@link createInMemoryEndpoints}. */
export type InMemoryEndpointsOptions = {
	readonly clock: Clock;
	/** One-way latency, in milliseconds. */
	readonly latencyMs: number;
	/** Name of the proxy host; servers can be cut off from it by this name. */
	readonly host?: string;
};

/** Creates the endpoints of one proxy host. */
export function createInMemoryEndpoints(servers: readonly DatabaseServer[], {clock, latencyMs, host = 'proxy'}: InMemoryEndpointsOptions): InMemoryEndpoints {
	const serversByAddress = new Map(servers.map(server => [server.address, server]));
	const links = new Map<string, Link>();

	const getLink = (address: string) => {
		const link = links.get(address) ?? createLink(clock, latencyMs);
		links.set(address, link);
		return link;
	};

	const openSession = async (address: string, server: DatabaseServer): Promise<DatabaseSession> => {
		const link = getLink(address);
		await link.transmit(link.epoch);
		try {
			return await server.connect(host);
		} finally {
			await link.transmit(link.epoch);
		}
	};

	const getEndpoint = (address: string): Endpoint => ({
		address,
		async connect(timeoutMs) {
			const server = serversByAddress.get(address) ?? throwNotConnected(address, 'nothing listens there');
			const opening = openSession(address, server);
			const opened = await withinMs(clock, timeoutMs, opening).catch((err: unknown) => throwNotConnected(address, err));
			if (opened.timedOut) {
				// The server may still accept the connection; its end must not stay open.
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
