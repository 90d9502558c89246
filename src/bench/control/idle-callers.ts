import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** Connections of callers that were used once and wait. */
export type IdleCallers = {
	close(): void;
};

const CONNECTIONS_AT_ONCE = 50;

/** Opens that many connections to a daemon's port for callers, each used for one request. */
export async function openIdleCallers(callerUrl: string, count: number): Promise<IdleCallers> {
	const sockets: Socket[] = [];
	while (sockets.length < count) {
		const wave = Math.min(CONNECTIONS_AT_ONCE, count - sockets.length);
		sockets.push(...await Promise.all(Array.from({length: wave}, async () => openUsed(callerUrl))));
	}

	return {
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

async function openUsed(callerUrl: string): Promise<Socket> {
	const {hostname, port} = new URL(callerUrl);
	const socket = connect(Number(port), hostname);
	// A daemon that stops cuts it.
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write(`GET /v1/none HTTP/1.1\r\nhost: ${hostname}\r\n\r\n`);
	await once(socket, 'data');
	return socket;
}
