import {Buffer} from 'node:buffer';
import type {PeerChannel} from './peer-transport.js';

/** An encoded frame on its way out. */
export type OutgoingFrame = {
	readonly bytes: Uint8Array;
	/** Called just before the frame is sent; a frame that answers false is left out. */
	claim(): boolean;
};

/** Sends the frames written in one turn of the event loop as one message, or as few as their size allows. */
export type FrameWriter = {
	/** Bytes that wait here and in the channel. */
	readonly bufferedBytes: number;
	/** Takes a frame; it is sent at the end of the turn, or once the writer was opened. */
	write(frame: OutgoingFrame): void;
	/** Lets frames out; those that waited go first. */
	open(): void;
	/** Sends what waits at once. */
	flush(): void;
	/** Drops what waits; nothing is sent any more. */
	close(): void;
};

/** A message is sent before a further frame would take it over this size, or over the largest frame, in bytes. */
const MESSAGE_BYTES = 65_536;

/** Creates a writer on a channel whose handshake may be still under way. */
export function createFrameWriter(channel: PeerChannel, maxFrameBytes: number): FrameWriter {
	const messageBytes = Math.min(MESSAGE_BYTES, maxFrameBytes);
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
		for (const message of packMessages(frames, messageBytes)) {
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

function * packMessages(frames: readonly OutgoingFrame[], messageBytes: number): Iterable<Uint8Array> {
	let parts: Uint8Array[] = [];
	let bytes = 0;
	for (const frame of frames) {
		if (bytes > 0 && bytes + frame.bytes.length > messageBytes) {
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
