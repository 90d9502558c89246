import {Buffer} from 'node:buffer';
import type {LogPosition} from '../terms/log-position.js';
import type {Session} from './session.js';

/**
 * The encoding of a session in a token, without the signature: version, flags, id, time of issue, then the floors, newest first.
 * Numbers are unsigned LEB128; strings are preceded by their length in one byte.
 */

/** Version of the encoding; a token of another version is not valid. */
const TOKEN_VERSION = 1;

const FLAG_TRIMMED = 1;

const MAX_STRING_BYTES = 255;

/** Encoded length of the largest safe integer. */
const MAX_NUMBER_BYTES = 8;

/** Encodes a session into at most `limit` bytes. Leaves out the oldest floors where needed, and sets a flag then. */
export function encodeSession(session: Session, limit: number): Uint8Array {
	const writer = createWriter(limit);
	writer.byte(TOKEN_VERSION);
	writer.byte(0);
	writer.text(session.id);
	writer.number(Math.floor(session.issuedAt));

	const newestFirst = Object.entries(session.floors).reverse();
	const firstLeftOut = newestFirst.findIndex(([group, floor]) => !writeFloor(writer, group, floor));

	// Readers take an absent floor to mean that the session never wrote to the group. The flag makes them wait for a barrier
	// instead; without it a session with many groups would lose read-your-writes on the oldest of them.
	const trimmed = firstLeftOut !== -1 || session.trimmed;
	const bytes = writer.end();
	bytes[1] = trimmed ? FLAG_TRIMMED : 0;
	return bytes;
}

/** Decodes the bytes of {@link encodeSession}; returns undefined for another version or malformed bytes. */
export function decodeSession(bytes: Uint8Array): Session | undefined {
	const reader = createReader(bytes);
	if (reader.byte() !== TOKEN_VERSION) {
		return undefined;
	}

	const trimmed = reader.byte() === FLAG_TRIMMED;
	const id = reader.text();
	const issuedAt = reader.number();
	const newestFirst: Array<[string, LogPosition]> = [];
	while (!reader.ended) {
		newestFirst.push([reader.text(), {term: reader.number(), position: reader.number()}]);
	}

	if (reader.broken) {
		return undefined;
	}

	const session = {id, issuedAt, floors: Object.fromEntries(newestFirst.reverse())};
	return trimmed ? {...session, trimmed} : session;
}

/** Writes a floor. Returns false and writes nothing where it does not fit. */
function writeFloor(writer: Writer, group: string, floor: LogPosition): boolean {
	if (writer.remaining < 1 + Buffer.byteLength(group) + (2 * MAX_NUMBER_BYTES)) {
		return false;
	}

	writer.text(group);
	writer.number(floor.term);
	writer.number(floor.position);
	return true;
}

type Writer = ReturnType<typeof createWriter>;

function createWriter(limit: number) {
	const buffer = Buffer.allocUnsafe(limit);
	let offset = 0;

	return {
		byte(value: number) {
			buffer[offset++] = value;
		},
		number(value: number) {
			let rest = value;
			while (rest >= 128) {
				buffer[offset++] = (rest % 128) + 128;
				rest = Math.floor(rest / 128);
			}

			buffer[offset++] = rest;
		},
		text(value: string) {
			const length = buffer.write(value, offset + 1, MAX_STRING_BYTES);
			buffer[offset] = length;
			offset += 1 + length;
		},
		get remaining() {
			return limit - offset;
		},
		end: () => buffer.subarray(0, offset),
	};
}

/** Creates a reader of bytes in order. Reading past the end sets `broken` and yields zeros. */
function createReader(bytes: Uint8Array) {
	const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
	let offset = 0;

	const byte = () => buffer[offset++] ?? 0;

	return {
		byte,
		number() {
			let value = 0;
			let scale = 1;
			let next = byte();
			while (next >= 128) {
				value += (next - 128) * scale;
				scale *= 128;
				next = byte();
			}

			return value + (next * scale);
		},
		text() {
			const length = byte();
			offset += length;
			return buffer.toString('utf8', offset - length, offset);
		},
		get ended() {
			return offset >= buffer.length;
		},
		get broken() {
			return offset > buffer.length;
		},
	};
}
