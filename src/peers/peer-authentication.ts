import {createHmac, timingSafeEqual} from 'node:crypto';
import {pack, unpack} from 'msgpackr';
import * as z from 'zod';
import type {Random} from '../random/random.js';
import {throwNotAuthenticated} from './peer-errors.js';
import type {PeerChannel} from './peer-transport.js';

/**
 * The handshake by which both ends of a link prove that they hold a peer key, before any call.
 *
 * It has four messages: hello (caller's nonce), challenge (responder's nonce), proof (one HMAC for each key of the caller),
 * welcome (an HMAC with the key that matched). Fresh nonces of both ends prevent replay of a recorded handshake without
 * comparing clocks; the role and both addresses are part of each HMAC, so that a proof can neither be reflected to its
 * sender nor relayed to a third host.
 */

/** What one end of a link needs for its handshake. */
export type PeerCredentials = {
	/** This host's own `ip:port`. */
	readonly address: string;
	/** Keys held, the current one first; any of them is accepted, so that a key can be replaced host by host. */
	readonly peerKeys: readonly string[];
	readonly random: Random;
};

const PROTOCOL = 1;
const NONCE_BYTES = 32;
const PROOF_BYTES = 32;
const MAX_KEYS = 4;

/** Maximum size of a handshake message, in bytes: nothing larger is decoded for a peer that is not authenticated. */
const MAX_HANDSHAKE_BYTES = 1024;

const Role = {
	Caller: 'caller',
	Responder: 'answerer',
} as const;

type Role = typeof Role[keyof typeof Role];

const bytes = (count: number) => z.custom<Uint8Array>(value => value instanceof Uint8Array && value.length === count);
const address = z.string().min(1).max(100);

const helloSchema = z.strictObject({
	protocol: z.literal(PROTOCOL),
	nonce: bytes(NONCE_BYTES),
	from: address,
	to: address,
});
const challengeSchema = z.strictObject({nonce: bytes(NONCE_BYTES)});
const proofSchema = z.strictObject({proofs: z.array(bytes(PROOF_BYTES)).min(1).max(MAX_KEYS)});
const welcomeSchema = z.strictObject({proof: bytes(PROOF_BYTES)});

type HandshakeMessage =
	| z.infer<typeof helloSchema>
	| z.infer<typeof challengeSchema>
	| z.infer<typeof proofSchema>
	| z.infer<typeof welcomeSchema>;

/** What both ends know of a handshake before any proof is exchanged. */
type Handshake = {
	readonly callerNonce: Uint8Array;
	readonly responderNonce: Uint8Array;
	readonly from: string;
	readonly to: string;
};

/** Runs the caller's part on a link to `to`; rejects with PeerError if the responder does not prove a key. */
export async function authenticateAsCaller(channel: PeerChannel, credentials: PeerCredentials, to: string): Promise<void> {
	const nonce = credentials.random.bytes(NONCE_BYTES);
	const from = credentials.address;
	send(channel, {
		protocol: PROTOCOL, nonce, from, to,
	});
	const challenge = await receive(channel, challengeSchema);

	const handshake = {
		callerNonce: nonce, responderNonce: challenge.nonce, from, to,
	};
	const proofs = credentials.peerKeys.slice(0, MAX_KEYS).map(key => prove(key, Role.Caller, handshake));
	send(channel, {proofs});
	const welcome = await receive(channel, welcomeSchema);
	if (!findKey(credentials.peerKeys, [welcome.proof], Role.Responder, handshake)) {
		throwNotAuthenticated(`${to} proved no key that this host holds`);
	}
}

/** Runs the responder's part; resolves with the caller's `ip:port`, and rejects with PeerError if the caller proves no key. */
export async function authenticateAsResponder(channel: PeerChannel, credentials: PeerCredentials): Promise<string> {
	const hello = await receive(channel, helloSchema);
	if (hello.to !== credentials.address) {
		throwNotAuthenticated(`${hello.from} looks for ${hello.to} here`);
	}

	const nonce = credentials.random.bytes(NONCE_BYTES);
	send(channel, {nonce});
	const {proofs} = await receive(channel, proofSchema);

	const handshake = {
		callerNonce: hello.nonce, responderNonce: nonce, from: hello.from, to: hello.to,
	};
	const key = findKey(credentials.peerKeys, proofs, Role.Caller, handshake);
	if (key === undefined) {
		throwNotAuthenticated(`${hello.from} proved no key that this host holds`);
	}

	send(channel, {proof: prove(key, Role.Responder, handshake)});
	return hello.from;
}

function prove(key: string, role: Role, handshake: Handshake): Uint8Array {
	return createHmac('sha256', key)
		.update(handshake.callerNonce)
		.update(handshake.responderNonce)
		.update(JSON.stringify([role, handshake.from, handshake.to]))
		.digest();
}

function findKey(keys: readonly string[], proofs: readonly Uint8Array[], role: Role, handshake: Handshake): string | undefined {
	return keys.find(key => {
		const expected = prove(key, role, handshake);
		return proofs.some(proof => timingSafeEqual(expected, proof));
	});
}

function send(channel: PeerChannel, message: HandshakeMessage): void {
	channel.send(pack(message));
}

async function receive<T>(channel: PeerChannel, schema: z.ZodType<T>): Promise<T> {
	const message = await receiveMessage(channel);
	if (message.length > MAX_HANDSHAKE_BYTES) {
		throwNotAuthenticated(`a handshake message of ${message.length} bytes`);
	}

	const parsed = schema.safeParse(unpackOrUndefined(message));
	return parsed.success ? parsed.data : throwNotAuthenticated('a handshake message that this host does not know');
}

function unpackOrUndefined(message: Uint8Array): unknown {
	try {
		return unpack(message);
	} catch {
		return undefined;
	}
}

async function receiveMessage(channel: PeerChannel): Promise<Uint8Array> {
	return new Promise((resolve, reject) => {
		channel.listen({
			onMessage: resolve,
			onClose(reason) {
				reject(new Error(`closed during the handshake: ${reason}`));
			},
		});
	});
}
