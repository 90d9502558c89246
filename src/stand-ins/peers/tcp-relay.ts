import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';

/** Stands between two hosts and fails as networks do. */
export type TcpRelay = {
	/** Where callers connect. */
	readonly address: string;
	/** Sets where new connections lead. */
	target(address: string): void;
	/** Loses all traffic of the connections that are open now, without closing them; new ones work. */
	freeze(): void;
	/** Lets so many more bytes of the answering side pass, then cuts the connections. */
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

	const pass = (from: Socket, to: Socket, data: Uint8Array) => {
		if (!frozen.has(from) && !to.destroyed) {
			to.write(data);
		}
	};

	const passAnswer = (from: Socket, to: Socket, data: Uint8Array) => {
		const part = data.subarray(0, bytesLeft);
		bytesLeft -= part.length;
		pass(from, to, part);
		if (bytesLeft === 0) {
			bytesLeft = Infinity;
			to.end();
			from.destroy();
		}
	};

	const server = createServer(caller => {
		const answerer = connect(targetPort, '127.0.0.1');
		for (const socket of [caller, answerer]) {
			sockets.add(socket);
			socket.on('error', () => undefined);
		}

		caller.on('data', data => {
			pass(caller, answerer, data);
		});
		answerer.on('data', data => {
			passAnswer(answerer, caller, data);
		});
		caller.on('close', () => answerer.destroy());
		answerer.on('end', () => caller.end());
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
