import type {PeerCalls} from './peer-calls.js';

/** The seam between proxies. `ws-peers.ts` speaks it over WebSocket, tests plug in an in-memory network. */

/** Answers one kind of call from a peer; a rejection reaches the caller as a PeerError with `sent: true`. */
export type PeerHandler<K extends keyof PeerCalls> = (req: PeerCalls[K]['req'], from: PeerIdentity) => Promise<PeerCalls[K]['res']>;

/** Who sent a call. */
export type PeerIdentity = {
	/** The sender's `ip:port`. */
	readonly address: string;
};

/** Calls to other proxies and the answers to theirs. */
export type Peers = {
	/** Calls the proxy at `ip:port`; rejects with PeerError when no answer came within `timeoutMs`. */
	call<K extends keyof PeerCalls>(address: string, kind: K, req: PeerCalls[K]['req'], timeoutMs: number): Promise<PeerCalls[K]['res']>;
	/** Registers who answers one kind of call; one handler a kind. */
	handle<K extends keyof PeerCalls>(kind: K, handler: PeerHandler<K>): void;
};

declare module '../kernel/service-map.js' {
	interface ServiceMap {
		peers: Peers;
	}
}
