import type {Server, Socket} from 'node:net';

/** The connections on which a request has begun and its head has not come whole. */
export type HalfHeads = {
	/** A request's head has come whole. */
	noteHead(socket: Socket): void;
	/** The request on the connection has its answer; what comes from now on is the next one's. */
	noteAnswered(socket: Socket): void;
	getSockets(): readonly Socket[];
};

/**
 * Watches a server's connections from now on.
 *
 * Guards against a request that is taken for none: to the HTTP server a connection is idle until a whole head has come, and
 * a caller whose link is bad would see it end in the middle of its own sending. Bytes read since the last answer tell it.
 */
export function createHalfHeads(server: Server): HalfHeads {
	/** Bytes read when the last answer went out; Infinity while a request is at work. */
	const answeredAt = new Map<Socket, number>();

	server.on('connection', socket => {
		answeredAt.set(socket, 0);
		socket.once('close', () => {
			answeredAt.delete(socket);
		});
	});

	const note = (socket: Socket, bytes: number) => {
		if (answeredAt.has(socket)) {
			answeredAt.set(socket, bytes);
		}
	};

	return {
		noteHead(socket) {
			note(socket, Infinity);
		},
		noteAnswered(socket) {
			note(socket, socket.bytesRead);
		},
		getSockets: () => [...answeredAt].filter(([socket, bytes]) => socket.bytesRead > bytes).map(([socket]) => socket),
	};
}
