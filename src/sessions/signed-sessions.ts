import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import type {Random} from '../random/random.js';
import type {Sessions} from './session.js';
import {decodeSession, encodeSession} from './token-codec.js';

/** The longest token made or taken, in characters; fits in a header that every balancer lets through. */
export const MAX_TOKEN_LENGTH = 2000;

/** Bytes of the signature that a token ends with (HMAC-SHA256). */
const SIGNATURE_BYTES = 32;

/** Bytes that {@link MAX_TOKEN_LENGTH} characters of base64url leave for the session. */
const MAX_SESSION_BYTES = Math.floor(MAX_TOKEN_LENGTH * 3 / 4) - SIGNATURE_BYTES;

const SESSION_ID_BYTES = 12;

/** What the sessions need. */
export type SignedSessionsOptions = {
	/** Signing keys, current first; each of them verifies. */
	readonly keys: readonly string[];
	readonly random: Random;
};

/**
 * Creates sessions whose tokens are signed, so that any host with the keys reads what any other made.
 *
 * Keys are changed by adding the new one behind the current one on every host, then by swapping the two.
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
			const genuine = tokenKeys.some(key => timingSafeEqual(signBytes(key, body), signature));
			return genuine ? decodeSession(body) : undefined;
		},
	};
}

/** The same keys sign refusal tickets; a key of their own keeps a ticket from passing as a session. */
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
	// The decoder skips what is not base64url; only the one spelling that we make counts.
	const genuine = bytes.length > SIGNATURE_BYTES && bytes.toString('base64url') === token;
	return genuine ? bytes : undefined;
}
