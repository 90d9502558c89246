import type {PeerIdentity, Peers} from './peers.js';

/** A handler without the types of its kind, which are checked where it is registered. */
export type AnyPeerHandler = (req: unknown, from: PeerIdentity) => Promise<unknown>;

/** The handlers of a host, by kind of call. */
export type PeerHandlers = {
	/** Registers the handler of a kind, and replaces the previous one. */
	readonly handle: Peers['handle'];
	/** Returns the handler of a kind; undefined if there is none. */
	get(kind: string): AnyPeerHandler | undefined;
};

/** Creates an empty set of handlers. */
export function createPeerHandlers(): PeerHandlers {
	const handlers = new Map<string, AnyPeerHandler>();

	return {
		handle(kind, handler) {
			handlers.set(kind, handler as AnyPeerHandler);
		},
		get: kind => handlers.get(kind),
	};
}
