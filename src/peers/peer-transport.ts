/** The seam under the links: `ws-transport.ts` carries messages over WebSocket, tests plug in an in-memory network. */

/** What a channel tells whoever uses it. */
export type ChannelListener = {
	/** A whole message came; a message that was cut never does. */
	onMessage(message: Uint8Array): void;
	/** The other end answered a ping. */
	onPong?(): void;
	/** The channel is closed; nothing comes after it. Called at once where it was closed before. */
	onClose(reason: string): void;
};

/** A connection that carries whole messages in order. */
export type PeerChannel = {
	/** Resolves once messages can be sent; rejects where the channel closes before. */
	readonly opened: Promise<void>;
	/** Bytes that wait to be sent. */
	readonly bufferedBytes: number;
	send(message: Uint8Array): void;
	/** Asks the other end to show that it lives. */
	ping(): void;
	/** Closes after what was sent has gone out. */
	close(): void;
	/** Cuts the connection at once. */
	terminate(): void;
	/** Sets who is told from now on. */
	listen(listener: ChannelListener): void;
};

/** Opens channels to other hosts and takes theirs. */
export type PeerTransport = {
	/** Own `ip:port`; where the port is chosen at the start, known from then on. */
	readonly address: string;
	/** Begins to take channels. */
	start(onChannel: (channel: PeerChannel) => void): Promise<void>;
	/** Opens a channel to the host at `ip:port`. */
	connect(address: string): PeerChannel;
	/** Takes no more channels and ends those left, by force after `ms`. */
	stop(ms: number): Promise<void>;
};
