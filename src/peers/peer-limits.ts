/** Limits of the links between proxies. */
export type PeerLimits = {
	/** Timeout for connecting and authenticating, in milliseconds. */
	readonly openTimeoutMs: number;
	/** Time without a call after which a link is closed, in milliseconds. */
	readonly idleMs: number;
	/** Time for which nothing is received until a ping is sent, in milliseconds; it runs from a call, and again from each receipt while calls are pending. */
	readonly pingAfterMs: number;
	/** The same until the link is terminated, in milliseconds. */
	readonly silentAfterMs: number;
	/** Time for running calls to complete when this host stops, in milliseconds. */
	readonly drainMs: number;
	/**
	 * Time for callers to close their links when this host stops, in milliseconds. That takes a round trip; the rest is for
	 * a caller that is late, up to what `peer-link.ts` regards as a stall.
	 */
	readonly callerCloseMs: number;
	/** Maximum size of a frame, in bytes. */
	readonly maxFrameBytes: number;
	/** Maximum number of bytes that wait to be sent on one link. */
	readonly maxBufferedBytes: number;
	/** Maximum number of incoming links in their handshake at once. */
	readonly maxHandshakes: number;
};

/** The limits that apply unless `createWsPeers` is given others. */
export const DEFAULT_PEER_LIMITS: PeerLimits = {
	openTimeoutMs: 1000,
	idleMs: 60_000,
	pingAfterMs: 1000,
	silentAfterMs: 2500,
	drainMs: 2000,
	callerCloseMs: 500,
	maxFrameBytes: 4 * 1024 * 1024,
	maxBufferedBytes: 16 * 1024 * 1024,
	maxHandshakes: 256,
};
