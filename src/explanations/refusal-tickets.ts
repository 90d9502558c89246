import {Buffer} from 'node:buffer';
import {
	createHmac, createSecretKey, timingSafeEqual, type KeyObject,
} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {truncateText, limitFacts} from './bounded-record.js';
import {packRecord, unpackRecord} from './record-codec.js';
import type {RefusalRecord} from './refusal-record.js';

/** Maximum length of a ticket, in characters. */
export const MAX_TICKET_LENGTH = 1024;

/** Encodes refusal records as signed tickets, which any proxy can read. */
export type RefusalTickets = {
	/** Returns a ticket signed with the current key. Facts that do not fit are omitted, and a further fact states how many. */
	sign(record: RefusalRecord): string;
	/** Reads a ticket signed with any of the keys. Returns undefined if it is not a valid ticket. */
	open(ticket: string): RefusalRecord | undefined;
};

/** Options of {@link createRefusalTickets}. */
export type RefusalTicketsOptions = {
	/** The current key first, then the keys that are still accepted. */
	readonly keys: readonly string[];
};

const PREFIX = 't1';
const MAC_BYTES = 16;
const MAC_LENGTH = 22;

/** Maximum size of a packed record, in bytes: what base64url leaves of a ticket after the prefix, the dots, the MAC and the byte for the encoding. */
const MAX_BODY_BYTES = Math.floor((MAX_TICKET_LENGTH - PREFIX.length - MAC_LENGTH - 2) * 3 / 4) - 1;

/** Maximum inflated size of the record in a ticket, in bytes. */
const MAX_INFLATED_BYTES = 16_384;

/** First byte of a ticket's body, which states how the packed record is encoded. */
const BodyEncoding = {Plain: 0, Deflated: 1} as const;

const FACT_COUNTS_TRIED = [16, 8, 4, 2, 0] as const;
const SHORT_REASON_LENGTH = 100;

/** Creates a ticket codec. Throws if there is no key. */
export function createRefusalTickets({keys}: RefusalTicketsOptions): RefusalTickets {
	const keyObjects = keys.map(key => createSecretKey(key, 'utf8'));
	const [currentKey] = keyObjects;
	if (currentKey === undefined) {
		throw new Error('tickets need a signing key');
	}

	return {
		sign(record) {
			const signed = `${PREFIX}.${toText(toBody(record))}`;
			return `${signed}.${toText(getMac(signed, currentKey))}`;
		},
		// The signature is verified over the received text before anything is decoded, so that a forged ticket cannot make
		// a proxy confirm a refusal that never happened.
		open(ticket) {
			const [prefix, body, mac, ...rest] = ticket.split('.');
			if (ticket.length > MAX_TICKET_LENGTH || prefix !== PREFIX || !body || mac?.length !== MAC_LENGTH || rest.length > 0) {
				return undefined;
			}

			const receivedMac = Buffer.from(mac, 'base64url');
			const signed = `${prefix}.${body}`;
			const isValid = keyObjects.some(key => receivedMac.length === MAC_BYTES && timingSafeEqual(receivedMac, getMac(signed, key)));
			return isValid ? fromBody(Buffer.from(body, 'base64url')) : undefined;
		},
	};
}

/** The label prevents a session token's signature from being accepted for a ticket, because both use the same keys. */
function getMac(text: string, key: KeyObject): Uint8Array {
	return createHmac('sha256', key).update('aldercroft refusal ticket\0').update(text).digest().subarray(0, MAC_BYTES);
}

function toText(bytes: Uint8Array): string {
	return Buffer.from(bytes).toString('base64url');
}

function toBody(record: RefusalRecord): Uint8Array {
	const body = toBodyWithinLimit(record);
	if (body) {
		return body;
	}

	for (const count of FACT_COUNTS_TRIED) {
		const trimmed = {...record, reason: truncateText(record.reason, SHORT_REASON_LENGTH), facts: limitFacts(record.facts, count)};
		const shorter = toBodyWithinLimit(trimmed);
		if (shorter) {
			return shorter;
		}
	}

	throw new Error('a record without facts does not fit in a ticket');
}

function toBodyWithinLimit(record: RefusalRecord): Uint8Array | undefined {
	const packed = packRecord(record);
	if (packed.length <= MAX_BODY_BYTES) {
		return Buffer.concat([Uint8Array.of(BodyEncoding.Plain), packed]);
	}

	const deflated = deflateRawSync(packed);
	return deflated.length <= MAX_BODY_BYTES ? Buffer.concat([Uint8Array.of(BodyEncoding.Deflated), deflated]) : undefined;
}

function fromBody(body: Uint8Array): RefusalRecord | undefined {
	const packed = body.subarray(1);
	return unpackRecord(body[0] === BodyEncoding.Deflated ? inflateRawSync(packed, {maxOutputLength: MAX_INFLATED_BYTES}) : packed);
}
