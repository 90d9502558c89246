import type {Service} from '../kernel/service.js';
import type {Log} from '../log/log.js';
import type {Random} from '../random/random.js';
import type {Clock} from '../time/clock.js';
import {authenticateWithin, createIncomingLink, type IncomingLink} from './incoming-link.js';
import type {PeerCredentials} from './peer-authentication.js';
import {throwPeersStopped, throwPeerUnreachable} from './peer-errors.js';
import {createPeerFigures, type PeerFigures} from './peer-figures.js';
import {createPeerHandlers} from './peer-handlers.js';
import {DEFAULT_PEER_LIMITS, type PeerLimits} from './peer-limits.js';
import {openPeerLink, type PeerLink} from './peer-link.js';
import type {PeerCalls} from './peer-calls.js';
import type {PeerChannel, PeerTransport} from './peer-transport.js';
import type {Peers} from './peers.js';

/** What the links between proxies need. */
export type PeersOptions = {
	readonly transport: PeerTransport;
	/** Keys that authenticate links, current first. */
	readonly peerKeys: readonly string[];
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Log;
	readonly limits?: Partial<PeerLimits>;
};

/** Called with the size of a message to the host at `ip:port`; a response has the kind of its call. */
export type SentListener = (address: string, kind: string, bytes: number) => void;

/** Peers with their life cycle and counters. */
export type LivePeers = Peers & Required<Service> & {
	/** This host's `ip:port`; with port 0, known once started. */
	readonly address: string;
	readonly figures: Readonly<PeerFigures>;
	/** Calls `listener` with the size of each call and response that is sent, in bytes; there is one listener. */
	observeSent(listener: SentListener): void;
};

/**
 * Creates the links between proxies.
 *
 * Each host opens a link of its own for its calls, so two hosts that call each other hold two. That costs a second
 * connection, and avoids a rule for which of two links opened at the same time is kept, in which calls could be lost.
 */
export function createPeers(options: PeersOptions): LivePeers {
	const {transport, clock} = options;
	const limits = {...DEFAULT_PEER_LIMITS, ...options.limits};
	const log = options.log.withPrefix('peers: ');
	const figures = createPeerFigures();
	const handlers = createPeerHandlers();
	/** The link for the next call to each peer, by address; links to peers that are stopping are removed. */
	const links = new Map<string, PeerLink>();
	const outgoingLinks = new Set<PeerLink>();
	const incomingLinks = new Set<IncomingLink>();
	let handshakes = 0;
	let onSent: SentListener | undefined;
	let accepting = true;
	let calling = true;

	const getCredentials = (): PeerCredentials => ({address: transport.address, peerKeys: options.peerKeys, random: options.random});

	const openLink = (peerAddress: string) => {
		const removeLink = () => {
			if (links.get(peerAddress) === link) {
				links.delete(peerAddress);
			}
		};

		const link = openPeerLink({
			address: peerAddress,
			channel: transport.connect(peerAddress),
			credentials: getCredentials(),
			limits,
			clock,
			figures,
			onSent(kind, bytes) {
				onSent?.(peerAddress, kind, bytes);
			},
			onLeaving: removeLink,
			onClose(reason) {
				removeLink();
				outgoingLinks.delete(link);
				log.debug('a link was closed', {peer: peerAddress, reason});
			},
		});
		figures.linksOpened++;
		outgoingLinks.add(link);
		links.set(peerAddress, link);
		return link;
	};

	const authenticate = async (channel: PeerChannel) => {
		handshakes++;
		try {
			return await authenticateWithin(channel, getCredentials(), limits, clock);
		} catch (err) {
			figures.linksRefused++;
			log.warn('an incoming link was refused', {reason: (err as Error).message});
			channel.terminate();
			return undefined;
		} finally {
			handshakes--;
		}
	};

	const accept = async (channel: PeerChannel) => {
		if (!accepting || handshakes >= limits.maxHandshakes) {
			channel.terminate();
			return;
		}

		const peer = await authenticate(channel);
		if (!peer) {
			return;
		}

		const link = createIncomingLink({
			channel,
			peer,
			handlers,
			limits,
			clock,
			onSent(kind, bytes) {
				onSent?.(peer.address, kind, bytes);
			},
			onClose() {
				incomingLinks.delete(link);
			},
		});
		incomingLinks.add(link);
		// The handshake ended after the stop began: the link's calls are refused, and the transport waits for it to close.
		if (!accepting) {
			await link.drain();
		}
	};

	return {
		get address() {
			return transport.address;
		},
		figures,
		observeSent(listener) {
			onSent = listener;
		},
		handle: handlers.handle,
		async call(peerAddress, kind, req, timeoutMs) {
			if (!calling) {
				throwPeersStopped();
			}

			if (timeoutMs <= 0) {
				throwPeerUnreachable(peerAddress, new Error('no time was left'));
			}

			figures.calls++;
			const link = links.get(peerAddress) ?? openLink(peerAddress);
			return link.call<PeerCalls[typeof kind]['res']>(kind, req, timeoutMs);
		},
		async start() {
			await transport.start(channel => {
				void accept(channel);
			});
			log.info('listening', {address: transport.address});
		},
		async stop() {
			accepting = false;
			await Promise.all([...incomingLinks].map(async link => link.drain()));
			calling = false;
			for (const link of outgoingLinks) {
				link.close('this host ends its links');
			}

			await transport.stop(limits.drainMs);
		},
	};
}
