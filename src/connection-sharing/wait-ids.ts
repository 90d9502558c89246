import type {Peers} from '../peers/peers.js';

/** Names requests that wait at pool hosts, and ends them there. */
export type WaitIds = {
	/** Returns an id that this host has not used before. */
	next(): string;
	/** Ends the request, or the checkout, with that id at the pool host; where the message is lost, the pool host ends it by itself later. */
	end(poolHost: string, id: string): void;
};

/** Timeout for the message, in milliseconds. */
const END_TIMEOUT_MS = 1000;

/** Creates the names of the requests of this host. */
export function createWaitIds(peers: Peers): WaitIds {
	let last = 0;

	return {
		next: () => `wait-${++last}`,
		end(poolHost, id) {
			peers.call(poolHost, 'loan-end', {loan: id, cut: true}, END_TIMEOUT_MS).catch(() => undefined);
		},
	};
}
