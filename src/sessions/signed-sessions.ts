import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Random} from '../random/random.js';
import type {Sessions} from './session.js';
import {decodeSession, encodeSession} from './token-codec.js';

/** Maximum length of a token, in characters; fits in a header that every balancer accepts. */
export const MAX_TOKEN_LENGTH = 2000;

/** Bytes of the signature that a token ends with (HMAC-SHA256). */
const SIGNATURE_BYTES = 32;

/** Bytes of the encoded session that fit in {@link MAX_TOKEN_LENGTH} characters of base64url beside the signature. */
const MAX_SESSION_BYTES = Math.floor(MAX_TOKEN_LENGTH * 3 / 4) - SIGNATURE_BYTES;

const SESSION_ID_BYTES = 12;

/** Options of the sessions. */
export type SignedSessionsOptions = {
	/** Signing keys, the current one first; tokens signed with any of them are valid. */
	readonly keys: readonly string[];
	readonly random: Random;
};

/**
 * Creates sessions whose tokens are signed, so that any host with the keys can read a token of any other host.
 *
 * To rotate keys, add the new key after the current one on every host, then swap the two.
 */
export function createSignedSessions({keys, random}: SignedSessionsOptions): Sessions {
	const tokenKeys = keys.map(key => deriveTokenKey(key));
	const [currentKey] = tokenKeys;

	return {
		create: wallMs => ({
			id: Buffer.from(random.bytes(SESSION_ID_BYTES)).toString('hex'),
			issuedAt: Math.floor(wallMs),
			floors: {},
		}),
		sign(session) {
			const body = encodeSession(session, MAX_SESSION_BYTES);
			return Buffer.concat([body, signBytes(currentKey!, body)]).toString('base64url');
		},
		verify(token) {
			const bytes = decodeToken(token);
			if (!bytes) {
				return undefined;
			}

			const body = bytes.subarray(0, -SIGNATURE_BYTES);
			const signature = bytes.subarray(-SIGNATURE_BYTES);
			const isValid = tokenKeys.some(key => timingSafeEqual(signBytes(key, body), signature));
			return isValid ? decodeSession(body) : undefined;
		},
	};
}

/** Derives a key for tokens alone. The same keys sign refusal tickets, and a ticket must not be valid as a session. */
function deriveTokenKey(key: string): Uint8Array {
	return createHmac('sha256', key).update('aldercroft session token').digest();
}

function signBytes(key: Uint8Array, body: Uint8Array): Uint8Array {
	return createHmac('sha256', key).update(body).digest();
}

function decodeToken(token: string): Uint8Array | undefined {
	if (token.length > MAX_TOKEN_LENGTH) {
		return undefined;
	}

	const bytes = Buffer.from(token, 'base64url');
	// The decoder skips characters that are not base64url; only the canonical encoding is valid.
	const isValid = bytes.length > SIGNATURE_BYTES && bytes.toString('base64url') === token;
	return isValid ? bytes : undefined;
}
