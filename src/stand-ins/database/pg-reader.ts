import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {ClientMessage} from './pg-messages.js';
import {createSignal} from './signal.js';

/** Cuts what a socket receives into protocol messages. */
export type PgReader = {
	/** The first message of a connection, which has no type byte; undefined where the socket closed. */
	nextStartup(): Promise<Uint8Array | undefined>;
	/** The next message; undefined where the socket closed. */
	next(): Promise<ClientMessage | undefined>;
};

const LENGTH_BYTES = 4;

/** Starts reading a socket. */
export function createPgReader(socket: Socket): PgReader {
	const changed = createSignal();
	let received = Buffer.from([]);
	let closed = false;

	socket.on('data', (chunk: Uint8Array) => {
		received = Buffer.concat([received, chunk]);
		changed.notify();
	});
	socket.on('close', () => {
		closed = true;
		changed.notify();
	});

	const isOpen = () => !closed;

	/** Takes a message whose length field stands at the offset. */
	const take = (lengthAt: number) => {
		const bodyAt = lengthAt + LENGTH_BYTES;
		const end = received.length < bodyAt ? Infinity : lengthAt + received.readInt32BE(lengthAt);
		if (received.length < end) {
			return undefined;
		}

		const message = {type: received.toString('latin1', 0, lengthAt), body: received.subarray(bodyAt, end)};
		received = received.subarray(end);
		return message;
	};

	const wait = async (lengthAt: number) => {
		let message = take(lengthAt);
		while (!message && isOpen()) {
			await changed.wait();
			message = take(lengthAt);
		}

		return message;
	};

	return {
		async nextStartup() {
			const message = await wait(0);
			return message?.body;
		},
		next: async () => wait(1),
	};
}
