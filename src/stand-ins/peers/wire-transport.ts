import {Buffer} from 'node:buffer';
import type {ChannelListener, PeerChannel, PeerTransport} from '../../peers/peer-transport.js';
import type {NetworkWire, WireHost} from './network-wire.js';

/** One end of a simulated connection. */
type WireEnd = {
	readonly host: WireHost;
	listener?: ChannelListener;
	closedBy?: string;
	onOpened(): void;
	onClosed(): void;
};

/** Creates a host's transport on a simulated wire. */
export function createWireTransport(wire: NetworkWire, host: WireHost): PeerTransport {
	const refuse = (near: WireEnd) => {
		wire.signal(host, host, () => {
			closeEnd(near, 'connection refused');
		});
	};

	const openTo = (near: WireEnd, far: WireEnd) => {
		wire.signal(host, far.host, () => {
			wire.signal(far.host, host, () => {
				near.onOpened();
			});
			closeRemainingOnKill(wire, near, far);
			closeRemainingOnKill(wire, far, near);
			far.host.onChannel?.(createChannel(wire, far, near, Promise.resolve()));
		});
	};

	return {
		address: host.address,
		async start(onChannel) {
			host.onChannel = onChannel;
		},
		connect(address) {
			const target = wire.getHost(address);
			const near = createEnd(host);
			const far = createEnd(target ?? host);
			const opened = new Promise<void>((resolve, reject) => {
				near.onOpened = resolve;
				near.onClosed = () => {
					reject(new Error(near.closedBy));
				};
			});
			opened.catch(() => undefined);
			if (target && !target.killed) {
				openTo(near, far);
			} else {
				refuse(near);
			}

			return createChannel(wire, near, far, opened);
		},
		async stop() {
			host.onChannel = undefined;
		},
	};
}

function createEnd(host: WireHost): WireEnd {
	return {
		host,
		onOpened() {}, // eslint-disable-line @typescript-eslint/no-empty-function
		onClosed() {}, // eslint-disable-line @typescript-eslint/no-empty-function
	};
}

function createChannel(wire: NetworkWire, near: WireEnd, far: WireEnd, opened: Promise<void>): PeerChannel {
	const closeBoth = () => {
		closeEnd(near, 'closed by this end');
		wire.signal(near.host, far.host, () => {
			closeEnd(far, 'closed by the other end');
		});
	};

	return {
		opened,
		bufferedBytes: 0,
		send(message) {
			if (near.closedBy === undefined) {
				wire.send(near.host, far.host, message, delivered => {
					if (far.closedBy === undefined) {
						// A new buffer for each message, so that hosts share no memory.
						far.listener?.onMessage(Buffer.from(delivered));
					}
				});
			}
		},
		ping() {
			wire.signal(near.host, far.host, () => {
				wire.signal(far.host, near.host, () => {
					near.listener?.onPong?.();
				});
			});
		},
		close: closeBoth,
		terminate: closeBoth,
		listen(listener) {
			near.listener = listener;
			if (near.closedBy !== undefined) {
				listener.onClose(near.closedBy);
			}
		},
	};
}

/** Closes the remaining end when a host is killed, as the operating system does for a killed process. */
function closeRemainingOnKill(wire: NetworkWire, killed: WireEnd, remaining: WireEnd): void {
	killed.host.onKill.add(() => {
		wire.signal(killed.host, remaining.host, () => {
			closeEnd(remaining, 'connection reset');
		});
	});
}

function closeEnd(end: WireEnd, reason: string): void {
	if (end.closedBy === undefined) {
		end.closedBy = reason;
		end.onClosed();
		end.listener?.onClose(reason);
	}
}
