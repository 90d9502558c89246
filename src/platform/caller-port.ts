import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import type {CallerChannel} from '../gateway/caller-channel.js';
import {createTcpCallerChannel, type LateRequestListener} from './tcp-caller-channel.js';
import {splitAddress} from './tcp-link-opener.js';

/** How many connections may wait to be accepted: after the loss of a host thousands of callers may reconnect at once. */
const BACKLOG = 1024;

/** Opens the port for callers and serves each connection. Resolves once the port listens. */
export async function openCallerPort(address: string, serve: (channel: CallerChannel) => Promise<void>, onLate?: LateRequestListener): Promise<Server> {
	const server = createServer(socket => {
		void serve(createTcpCallerChannel(socket, onLate));
	});
	const [host, port] = splitAddress(address);
	server.listen({host, port, backlog: BACKLOG});
	await once(server, 'listening');
	return server;
}
