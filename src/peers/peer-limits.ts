/** Bounds of the links between proxies. */
export type PeerLimits = {
	/** Time for connecting and authenticating, in milliseconds. */
	readonly openTimeoutMs: number;
	/** A link without a call for so long is closed, in milliseconds. */
	readonly idleMs: number;
	/** With calls in flight and nothing received for so long, a ping is sent, in milliseconds. */
	readonly pingAfterMs: number;
	/** With calls in flight and nothing received for so long, the link is given up, in milliseconds. */
	readonly silentAfterMs: number;
	/** Time for calls being answered to end when this host stops, in milliseconds. */
	readonly drainMs: number;
	/**
	 * Time for the callers' ends to close their links when this host stops, in milliseconds. It takes them a round trip; the
	 * rest is for one that is late, by what `peer-link.ts` takes for a stall.
	 */
	readonly callerCloseMs: number;
	/** Largest frame, in bytes. */
	readonly maxFrameBytes: number;
	/** Bytes that may wait to be sent on one link. */
	readonly maxBufferedBytes: number;
	/** Incoming links that may be in their handshake at once. */
	readonly maxHandshakes: number;
};

/** The bounds in force where a caller of `createWsPeers` states no others. */
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
