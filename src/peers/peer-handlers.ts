import type {PeerIdentity, Peers} from './peers.js';

/** A handler as a link sees it: the kind's types are checked where it is registered. */
export type AnyPeerHandler = (req: unknown, from: PeerIdentity) => Promise<unknown>;

/** The handlers of a host by kind of call. */
export type PeerHandlers = {
	/** Registers the handler of a kind; replaces the one before it. */
	readonly handle: Peers['handle'];
	/** The handler of a kind, undefined where nobody answers it. */
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
