import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** A TCP relay between two hosts that simulates network faults. */
export type TcpRelay = {
	/** Address to which clients connect. */
	readonly address: string;
	/** Sets the address to which new connections are forwarded. */
	target(address: string): void;
	/** Drops all traffic of the currently open connections without closing them; new connections work. */
	freeze(): void;
	/** Forwards this number of further response bytes, of all connections together, then cuts the connection that carried the last of them. */
	cutAfter(bytes: number): void;
	stop(): void;
};

/** Starts a relay on loopback. */
export async function startTcpRelay(): Promise<TcpRelay> {
	const sockets = new Set<Socket>();
	const frozen = new WeakSet<Socket>();
	let targetPort = 0;
	let bytesLeft = Infinity;

	const destroyAll = () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};

	const forward = (from: Socket, to: Socket, data: Uint8Array) => {
		if (!frozen.has(from) && !to.destroyed) {
			to.write(data);
		}
	};

	const forwardResponse = (from: Socket, to: Socket, data: Uint8Array) => {
		const part = data.subarray(0, bytesLeft);
		bytesLeft -= part.length;
		forward(from, to, part);
		if (bytesLeft === 0) {
			bytesLeft = Infinity;
			to.end();
			from.destroy();
		}
	};

	const server = createServer(client => {
		const upstream = connect(targetPort, '127.0.0.1');
		for (const socket of [client, upstream]) {
			sockets.add(socket);
			socket.on('error', () => undefined);
		}

		client.on('data', data => {
			forward(client, upstream, data);
		});
		upstream.on('data', data => {
			forwardResponse(upstream, client, data);
		});
		client.on('close', () => upstream.destroy());
		upstream.on('end', () => client.end());
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');

	return {
		address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
		target(address) {
			targetPort = Number(address.split(':')[1]);
		},
		freeze() {
			for (const socket of sockets) {
				frozen.add(socket);
			}
		},
		cutAfter(bytes) {
			bytesLeft = bytes;
		},
		stop() {
			destroyAll();
			server.close();
		},
	};
}
