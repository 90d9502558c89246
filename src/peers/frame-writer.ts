import {Buffer} from 'node:buffer';
import type {PeerChannel} from './peer-transport.js';

/** An encoded frame that waits to be sent. */
export type OutgoingFrame = {
	readonly bytes: Uint8Array;
	/** Called just before the frame is sent; the frame is dropped if this returns false. */
	claim(): boolean;
};

/** Sends the frames written in one turn of the event loop as one message, or as few messages as their sizes allow. */
export type FrameWriter = {
	/** Bytes that are buffered here and in the channel. */
	readonly bufferedBytes: number;
	/** Queues a frame; it is sent at the end of the turn, or once the writer is open. */
	write(frame: OutgoingFrame): void;
	/** Starts to send frames, the queued ones first. */
	open(): void;
	/** Sends the queued frames at once, if the writer is open. */
	flush(): void;
	/** Drops the queued frames; nothing is sent any more. */
	close(): void;
};

/** Maximum size of a message of several frames, in bytes, unless the maximum size of a frame is lower. */
const MAX_MESSAGE_BYTES = 65_536;

/** Creates a writer on a channel whose handshake may still be in progress. */
export function createFrameWriter(channel: PeerChannel, maxFrameBytes: number): FrameWriter {
	const maxMessageBytes = Math.min(MAX_MESSAGE_BYTES, maxFrameBytes);
	let waiting: OutgoingFrame[] = [];
	let waitingBytes = 0;
	let opened = false;
	let closed = false;
	let scheduled = false;

	const flush = () => {
		scheduled = false;
		if (!opened || closed) {
			return;
		}

		const frames = waiting;
		waiting = [];
		waitingBytes = 0;
		for (const message of packMessages(frames, maxMessageBytes)) {
			channel.send(message);
		}
	};

	const schedule = () => {
		if (opened && !scheduled) {
			scheduled = true;
			setImmediate(flush);
		}
	};

	return {
		get bufferedBytes() {
			return waitingBytes + channel.bufferedBytes;
		},
		write(frame) {
			waiting.push(frame);
			waitingBytes += frame.bytes.length;
			schedule();
		},
		open() {
			opened = true;
			schedule();
		},
		flush,
		close() {
			closed = true;
			waiting = [];
			waitingBytes = 0;
		},
	};
}

function * packMessages(frames: readonly OutgoingFrame[], maxMessageBytes: number): Iterable<Uint8Array> {
	let parts: Uint8Array[] = [];
	let bytes = 0;
	for (const frame of frames) {
		if (bytes > 0 && bytes + frame.bytes.length > maxMessageBytes) {
			yield joinParts(parts);
			parts = [];
			bytes = 0;
		}

		if (frame.claim()) {
			parts.push(frame.bytes);
			bytes += frame.bytes.length;
		}
	}

	if (bytes > 0) {
		yield joinParts(parts);
	}
}

function joinParts(parts: readonly Uint8Array[]): Uint8Array {
	return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}
