import type {Server, Socket} from 'node:net';

/** The connections on which a request has begun to arrive and its head is not complete. */
export type IncompleteHeads = {
	/** Records that the head of a request is complete. */
	noteHead(socket: Socket): void;
	/** Records that the request on the connection is answered; later bytes belong to the next request. */
	noteAnswered(socket: Socket): void;
	getSockets(): readonly Socket[];
};

/**
 * Watches the connections that a server accepts from now on.
 *
 * Guards against closing a connection on which a request is arriving: the HTTP server counts it as idle until a head is
 * complete, and a caller with a bad link would see it close while it sends. Bytes read since the last response show that
 * a request has begun.
 */
export function createIncompleteHeads(server: Server): IncompleteHeads {
	/** Bytes read from each connection when its last response was written; Infinity while a request is in progress. */
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
