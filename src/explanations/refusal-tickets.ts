import {Buffer} from 'node:buffer';
import {
	createHmac, createSecretKey, timingSafeEqual, type KeyObject,
} from 'node:crypto';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {cut, keepFacts} from './bounded-record.js';
import {packRecord, unpackRecord} from './record-codec.js';
import type {RefusalRecord} from './refusal-record.js';

/** Longest ticket, in characters. */
export const MAX_TICKET_LENGTH = 1024;

/** Signs refusal records into tickets that any proxy can read, and reads them. */
export type RefusalTickets = {
	/** Signs with the current key; facts that do not fit are left out with a mark. */
	sign(record: RefusalRecord): string;
	/** Reads a ticket signed with any of the keys; undefined where it is none. */
	open(ticket: string): RefusalRecord | undefined;
};

/** Options of {@link createRefusalTickets}. */
export type RefusalTicketsOptions = {
	/** Current key first, then those still accepted. */
	readonly keys: readonly string[];
};

const PREFIX = 't1';
const MAC_BYTES = 16;
const MAC_LENGTH = 22;

/** Largest packed record, in bytes: what base64url leaves of the ticket after prefix, dots, MAC and the byte that names the form. */
const MAX_BODY_BYTES = Math.floor((MAX_TICKET_LENGTH - PREFIX.length - MAC_LENGTH - 2) * 3 / 4) - 1;

/** Largest record that a ticket may inflate to, in bytes. */
const MAX_INFLATED_BYTES = 16_384;

/** The first byte of a ticket's body: how the packed record is written. */
const Form = {Plain: 0, Deflated: 1} as const;

const FACTS_TRIED = [16, 8, 4, 2, 0] as const;
const SHORT_REASON = 100;

/** Creates the signer and reader of tickets. */
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
		// Guards against a ticket that someone made up: the signature is checked over the text as it came, before
		// anything of it is decoded, so that nobody can make a proxy vouch for a refusal that never was.
		open(ticket) {
			const [prefix, body, mac, ...rest] = ticket.split('.');
			if (ticket.length > MAX_TICKET_LENGTH || prefix !== PREFIX || !body || mac?.length !== MAC_LENGTH || rest.length > 0) {
				return undefined;
			}

			const given = Buffer.from(mac, 'base64url');
			const signed = `${prefix}.${body}`;
			const known = keyObjects.some(key => given.length === MAC_BYTES && timingSafeEqual(given, getMac(signed, key)));
			return known ? fromBody(Buffer.from(body, 'base64url')) : undefined;
		},
	};
}

/** The label keeps a session token's signature from passing for a ticket's, since both are made with the same keys. */
function getMac(text: string, key: KeyObject): Uint8Array {
	return createHmac('sha256', key).update('aldercroft refusal ticket\0').update(text).digest().subarray(0, MAC_BYTES);
}

function toText(bytes: Uint8Array): string {
	return Buffer.from(bytes).toString('base64url');
}

function toBody(record: RefusalRecord): Uint8Array {
	const body = toBodyThatFits(record);
	if (body) {
		return body;
	}

	for (const count of FACTS_TRIED) {
		const trimmed = {...record, reason: cut(record.reason, SHORT_REASON), facts: keepFacts(record.facts, count)};
		const shorter = toBodyThatFits(trimmed);
		if (shorter) {
			return shorter;
		}
	}

	throw new Error('a record without facts does not fit in a ticket');
}

function toBodyThatFits(record: RefusalRecord): Uint8Array | undefined {
	const packed = packRecord(record);
	if (packed.length <= MAX_BODY_BYTES) {
		return Buffer.concat([Uint8Array.of(Form.Plain), packed]);
	}

	const deflated = deflateRawSync(packed);
	return deflated.length <= MAX_BODY_BYTES ? Buffer.concat([Uint8Array.of(Form.Deflated), deflated]) : undefined;
}

function fromBody(body: Uint8Array): RefusalRecord | undefined {
	const packed = body.subarray(1);
	return unpackRecord(body[0] === Form.Deflated ? inflateRawSync(packed, {maxOutputLength: MAX_INFLATED_BYTES}) : packed);
}
