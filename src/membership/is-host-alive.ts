import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		/** Heartbeat request; any running host responds. */
		'host-alive': {req: Record<string, never>; res: {readonly alive: true}};
	}
}

/** Returns whether the host at `ip:port` responds to a heartbeat request within `timeoutMs` milliseconds. */
export async function isHostAlive(peers: Peers, address: string, timeoutMs: number): Promise<boolean> {
	try {
		await peers.call(address, 'host-alive', {}, timeoutMs);
		return true;
	} catch (err) {
		if (!isPeerError(err)) {
			throw err;
		}

		return false;
	}
}
