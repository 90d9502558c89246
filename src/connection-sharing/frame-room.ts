import {Buffer} from 'node:buffer';
import {DEFAULT_PEER_LIMITS} from '../peers/peer-limits.js';

/** Room in a frame for all but the texts of callers and endpoints, in bytes: names of fields, figures, and the values of a checkout request. */
const RESERVED_BYTES = 65_536;

const MAX_TEXT_BYTES = DEFAULT_PEER_LIMITS.maxFrameBytes - RESERVED_BYTES;

/** Maximum number of bytes of one character in a frame; the bytes of a caller's message from 128 on take two. */
const MAX_CHARACTER_BYTES = 3;

/** Returns whether one message between hosts has room for these texts. */
export function fitsInFrame(texts: readonly string[]): boolean {
	return getBytes(texts, text => text.length * MAX_CHARACTER_BYTES) <= MAX_TEXT_BYTES
		|| getBytes(texts, text => Buffer.byteLength(text)) <= MAX_TEXT_BYTES;
}

function getBytes(texts: readonly string[], getLength: (text: string) => number): number {
	let bytes = 0;
	for (const text of texts) {
		const length = getLength(text);
		bytes += getHeaderBytes(length) + length;
	}

	return bytes;
}

/** Returns the size of what MessagePack writes before a text of that many bytes. */
function getHeaderBytes(length: number): number {
	if (length < 32) {
		return 1;
	}

	return length < 256 ? 2 : (length < 65_536 ? 3 : 5);
}
