import type {StoreUpdate} from '../mirror/mirror-calls.js';
import type {LivePeers} from '../peers/create-peers.js';
import type {PeerCalls} from '../peers/peer-calls.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';

/** Kinds of call that a host answers at once, so that their duration is the round-trip time. Polls for store updates state for how long they were held. */
const QUICK_CALLS: ReadonlySet<string> = new Set(['host-alive', 'loan-sample', 'rate-limit-take', 'room-report']);

/** Called for calls to other hosts. */
export type PeerCallListener = {
	onCall(address: string): void;
	onAnswer(address: string): void;
	/** Called where a call got no answer in time; `isProof` is whether a running host answers such a call at once. */
	onSilence(address: string, isProof: boolean): void;
	/** Called with the round-trip time of a call that was answered at once, in milliseconds. */
	onRoundTrip(address: string, ms: number): void;
};

/** Wraps the links to other hosts so that round-trip times are measured by the calls that are made anyway. */
export function measurePeers(peers: LivePeers, elapsedClock: ElapsedClock, {onCall, onAnswer, onSilence, onRoundTrip}: PeerCallListener): LivePeers {
	return {
		...peers,
		get address() {
			return peers.address;
		},
		async call(address, kind, req, timeoutMs) {
			onCall(address);
			const sentAt = elapsedClock.elapsed();
			let res: PeerCalls[typeof kind]['res'];
			try {
				res = await peers.call(address, kind, req, timeoutMs);
			} catch (err) {
				onSilence(address, kind === 'mirror-confirm' || QUICK_CALLS.has(kind));
				throw err;
			}

			onAnswer(address);
			const ms = getRoundTripMs(kind, res, elapsedClock.elapsed() - sentAt);
			if (ms !== undefined) {
				onRoundTrip(address, ms);
			}

			return res;
		},
	};
}

function getRoundTripMs(kind: keyof PeerCalls, res: unknown, durationMs: number): number | undefined {
	if (kind !== 'mirror-confirm') {
		return QUICK_CALLS.has(kind) ? durationMs : undefined;
	}

	// With contents, the time of their transfer would count.
	const {heldMs, update} = res as StoreUpdate;
	return update ? undefined : Math.max(0, durationMs - heldMs);
}
