import type {StoreMirror} from '../mirror/store-mirror.js';
import type {Peers} from '../peers/peers.js';
import {LEADERSHIP_CALL_TIMEOUT_MS} from './leadership-calls.js';

/** What {@link notifyOtherHosts} needs. */
export type NotifyOtherHostsOptions = {
	readonly mirror: StoreMirror;
	readonly peers: Peers;
	readonly ownPeerAddress: string;
};

/** Notifies the other hosts that a record of leadership was changed, so that they request it now rather than with their next confirmation. */
export function notifyOtherHosts({mirror, peers, ownPeerAddress}: NotifyOtherHostsOptions): void {
	for (const {peerAddress} of mirror.state.hosts) {
		if (peerAddress !== ownPeerAddress) {
			peers.call(peerAddress, 'lead-changed', {}, LEADERSHIP_CALL_TIMEOUT_MS).catch(ignoreUndelivered);
		}
	}
}

/** Ignores a notification that was not delivered: the host finds the change with its next confirmation. */
function ignoreUndelivered(): void {} // eslint-disable-line @typescript-eslint/no-empty-function
