import {Buffer} from 'node:buffer';
import type {LogPosition} from '../terms/log-position.js';
import type {Session} from './session.js';

/**
 * The bytes of a session token before they are signed: version, flags, id, time of issue, then the floors, oldest first.
 * Numbers are unsigned LEB128, strings are preceded by their length in one byte.
 */

/** Format of the bytes; a token of another version is none. */
const TOKEN_VERSION = 1;

const FLAG_TRIMMED = 1;

const MAX_STRING_BYTES = 255;

/** Encodes a session into at most `limit` bytes, leaving out the oldest floors as needed and saying so. */
export function encodeSession(session: Session, limit: number): Uint8Array {
	const floors = Object.entries(session.floors).map(([group, floor]) => encodeFloor(group, floor));
	const head = encodeHead(session);
	let size = head.length;
	let first = floors.length;
	while (first > 0 && size + floors[first - 1]!.length <= limit) {
		first--;
		size += floors[first]!.length;
	}

	// A floor that is merely absent reads as "never wrote there". The flag tells readers to take a barrier instead;
	// without it a session with many groups would lose read-your-writes on the oldest of them.
	head[1] = first > 0 || session.trimmed ? FLAG_TRIMMED : 0;
	return Buffer.concat([head, ...floors.slice(first)], size);
}

/** Decodes what {@link encodeSession} made; undefined for bytes of another version or shape. */
export function decodeSession(bytes: Uint8Array): Session | undefined {
	const reader = createReader(bytes);
	if (reader.byte() !== TOKEN_VERSION) {
		return undefined;
	}

	const trimmed = reader.byte() === FLAG_TRIMMED;
	const id = reader.text();
	const issuedAt = reader.number();
	const floors: Record<string, LogPosition> = {};
	while (!reader.ended && !reader.broken) {
		const group = reader.text();
		floors[group] = {term: reader.number(), position: reader.number()};
	}

	if (reader.broken) {
		return undefined;
	}

	const session = {id, issuedAt, floors};
	return trimmed ? {...session, trimmed} : session;
}

function encodeHead(session: Session): Uint8Array {
	const bytes = [TOKEN_VERSION, 0];
	pushText(bytes, session.id);
	pushNumber(bytes, Math.floor(session.issuedAt));
	return Uint8Array.from(bytes);
}

function encodeFloor(group: string, floor: LogPosition): Uint8Array {
	const bytes: number[] = [];
	pushText(bytes, group);
	pushNumber(bytes, floor.term);
	pushNumber(bytes, floor.position);
	return Uint8Array.from(bytes);
}

function pushText(bytes: number[], text: string): void {
	const encoded = Buffer.from(text).subarray(0, MAX_STRING_BYTES);
	bytes.push(encoded.length, ...encoded);
}

function pushNumber(bytes: number[], value: number): void {
	let rest = value;
	while (rest >= 128) {
		bytes.push((rest % 128) + 128);
		rest = Math.floor(rest / 128);
	}

	bytes.push(rest);
}

/** Reads bytes in order; running past the end marks it broken and gives zeros. */
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
