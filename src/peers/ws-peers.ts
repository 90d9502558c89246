import {createPeers, type LivePeers, type PeersOptions} from './create-peers.js';
import {DEFAULT_PEER_LIMITS} from './peer-limits.js';
import {createWsTransport} from './ws-transport.js';

/** What peers over WebSocket need: `hostAddress` and `peerPort` are the settings of the same names. */
export type WsPeersOptions = Omit<PeersOptions, 'transport'> & {
	/** IP address to listen on, at which other hosts reach this one. */
	readonly hostAddress: string;
	/** Port to listen on; 0 takes a free one. */
	readonly peerPort: number;
};

/** Creates the links between proxies over WebSocket. */
export function createWsPeers(options: WsPeersOptions): LivePeers {
	const {hostAddress, peerPort, clock} = options;
	const {maxFrameBytes} = {...DEFAULT_PEER_LIMITS, ...options.limits};
	const transport = createWsTransport({
		hostAddress, port: peerPort, maxMessageBytes: maxFrameBytes, clock,
	});
	return createPeers({...options, transport});
}
