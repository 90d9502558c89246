/** The transport of the links: `ws-transport.ts` implements it over WebSocket, and tests use an in-memory network. */

/** The callbacks of a channel. */
export type ChannelListener = {
	/** Called with each complete message; a truncated message is never delivered. */
	onMessage(message: Uint8Array): void;
	/** Called when the other end responds to a ping. */
	onPong?(): void;
	/** Called when the channel has closed, as the last callback; called at once if it was closed before. */
	onClose(reason: string): void;
};

/** A connection that carries whole messages in order. */
export type PeerChannel = {
	/** Resolves once messages can be sent; rejects if the channel closes before. */
	readonly opened: Promise<void>;
	/** Bytes that wait to be sent. */
	readonly bufferedBytes: number;
	send(message: Uint8Array): void;
	/** Requests a pong, which shows that the other end is alive. */
	ping(): void;
	/** Closes the channel after everything that was sent has been transmitted. */
	close(): void;
	/** Terminates the connection at once. */
	terminate(): void;
	/** Sets the callbacks; the previous ones are no longer called. */
	listen(listener: ChannelListener): void;
};

/** Opens channels to other hosts and accepts theirs. */
export type PeerTransport = {
	/** This host's `ip:port`; if the port is chosen at the start, known from then on. */
	readonly address: string;
	/** Starts to accept channels. */
	start(onChannel: (channel: PeerChannel) => void): Promise<void>;
	/** Opens a channel to the host at `ip:port`. */
	connect(address: string): PeerChannel;
	/** Accepts no more channels, waits up to `ms` milliseconds for the open ones to close, and terminates the rest. */
	stop(ms: number): Promise<void>;
};
