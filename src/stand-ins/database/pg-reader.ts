import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import type {ClientMessage} from './pg-messages.js';
import {createSignal} from './signal.js';

/** Splits the data that a socket receives into protocol messages. */
export type PgReader = {
	/** Returns the first message of a connection, which has no type byte; undefined if the socket has closed. */
	nextStartup(): Promise<Uint8Array | undefined>;
	/** Returns the next message; undefined if the socket has closed. */
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

	/** Removes and returns the first message, whose length field is at the offset; undefined if it is not complete yet. */
	const takeMessage = (lengthOffset: number) => {
		const bodyOffset = lengthOffset + LENGTH_BYTES;
		const end = received.length < bodyOffset ? Infinity : lengthOffset + received.readInt32BE(lengthOffset);
		if (received.length < end) {
			return undefined;
		}

		const message = {type: received.toString('latin1', 0, lengthOffset), body: received.subarray(bodyOffset, end)};
		received = received.subarray(end);
		return message;
	};

	const waitForMessage = async (lengthOffset: number) => {
		let message = takeMessage(lengthOffset);
		while (!message && isOpen()) {
			await changed.wait();
			message = takeMessage(lengthOffset);
		}

		return message;
	};

	return {
		async nextStartup() {
			const message = await waitForMessage(0);
			return message?.body;
		},
		next: async () => waitForMessage(1),
	};
}
