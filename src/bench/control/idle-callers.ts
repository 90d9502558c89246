import {once} from 'node:events';
import {connect, type Socket} from 'node:net';

/** Open connections of callers, each of which was used for one request and is idle since. */
export type IdleCallers = {
	close(): void;
};

const CONNECTIONS_AT_ONCE = 50;

/** Opens `count` connections to a daemon's port for callers and sends one request on each. */
export async function openIdleCallers(callerUrl: string, count: number): Promise<IdleCallers> {
	const sockets: Socket[] = [];
	while (sockets.length < count) {
		const batchSize = Math.min(CONNECTIONS_AT_ONCE, count - sockets.length);
		sockets.push(...await Promise.all(Array.from({length: batchSize}, async () => openUsedConnection(callerUrl))));
	}

	return {
		close() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

async function openUsedConnection(callerUrl: string): Promise<Socket> {
	const {hostname, port} = new URL(callerUrl);
	const socket = connect(Number(port), hostname);
	// A daemon resets the connection when it stops.
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	socket.write(`GET /v1/none HTTP/1.1\r\nhost: ${hostname}\r\n\r\n`);
	await once(socket, 'data');
	return socket;
}
