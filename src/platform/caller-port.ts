import {once} from 'node:events';
import {createServer, type Server} from 'node:net';
import type {CallerChannel} from '../gateway/caller-channel.js';
import {createTcpCallerChannel, type LateRequestListener} from './tcp-caller-channel.js';
import {splitAddress} from './tcp-link-opener.js';

/** Connections that may wait to be accepted: thousands of callers may reconnect at once after a host was lost. */
const BACKLOG = 1024;

/** Takes callers' connections. */
export async function openCallerPort(address: string, serve: (channel: CallerChannel) => Promise<void>, onLate?: LateRequestListener): Promise<Server> {
	const server = createServer(socket => {
		void serve(createTcpCallerChannel(socket, onLate));
	});
	const [host, port] = splitAddress(address);
	server.listen({host, port, backlog: BACKLOG});
	await once(server, 'listening');
	return server;
}
