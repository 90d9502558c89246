import type {PeerCalls} from './peer-calls.js';

/** The interface between proxies: `ws-peers.ts` implements it over WebSocket, and tests use an in-memory network. */

/** Handles one kind of call from a peer; a rejection reaches the caller as a PeerError with `sent: true`. */
export type PeerHandler<K extends keyof PeerCalls> = (req: PeerCalls[K]['req'], from: PeerIdentity) => Promise<PeerCalls[K]['res']>;

/** The sender of a call. */
export type PeerIdentity = {
	/** The sender's `ip:port`. */
	readonly address: string;
};

/** Calls other proxies and handles their calls. */
export type Peers = {
	/** Calls the proxy at `ip:port`; rejects with PeerError if no response arrives within `timeoutMs`. */
	call<K extends keyof PeerCalls>(address: string, kind: K, req: PeerCalls[K]['req'], timeoutMs: number): Promise<PeerCalls[K]['res']>;
	/** Registers the handler of one kind of call; each kind has one handler. */
	handle<K extends keyof PeerCalls>(kind: K, handler: PeerHandler<K>): void;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		peers: Peers;
	}
}
