import {createServer, type AddressInfo} from 'node:net';
import {once} from 'node:events';

/** Finds `count` free ports on the loopback address. All are kept open until the last is found, so that no port is returned twice. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const servers = await Promise.all(Array.from({length: count}, async () => {
		const server = createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		return server;
	}));
	const ports = servers.map(server => (server.address() as AddressInfo).port);
	await Promise.all(servers.map(async server => {
		server.close();
		await once(server, 'close');
	}));
	return ports;
}
