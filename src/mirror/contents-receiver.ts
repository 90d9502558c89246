import {Buffer} from 'node:buffer';
import {inflateRawSync} from 'node:zlib';
import {Unpackr} from 'msgpackr';
import type {Log} from '../log/log.js';
import {DEFAULT_PEER_LIMITS} from '../peers/peer-limits.js';
import type {Peers} from '../peers/peers.js';
import {isCompact, type ContentsPiece} from './contents-sender.js';
import type {StateDifference} from './state-difference.js';

/** Reassembles the updates that other hosts send in pieces. */
export type ContentsReceiver = {
	/**
	 * Fetches the remaining pieces of an update and decodes it; undefined if the sender no longer keeps that update, or the update cannot be decoded. Rejects with PeerError; the
	 * pieces that have arrived are kept, and the same update goes on behind them at the next call, from whichever host.
	 */
	receive(address: string, first: ContentsPiece): Promise<StateDifference | undefined>;
	/** Number of pieces that have arrived. */
	readonly pieces: number;
};

/**
 * Timeout of the call for one piece, in milliseconds: longer than the time after which the link counts as silent. A link on which something arrives shows that the sender is
 * alive, however long a piece takes behind other traffic.
 */
const PIECE_TIMEOUT_MS = DEFAULT_PEER_LIMITS.silentAfterMs + 500;

/** Maximum size of a decompressed update, in bytes, far above that of any configuration: guards the memory of the host against damaged data. */
const MAX_UPDATE_BYTES = 64 * 1024 * 1024;

const unpackr = new Unpackr({useRecords: true});

/** Creates a receiver that fetches pieces with calls to peers; `onCompact` is called with each whole update in compact form that was decoded. */
export function createContentsReceiver(peers: Peers, log: Log, onCompact?: (key: string, bytes: Uint8Array) => void): ContentsReceiver {
	/** What has arrived of an update that is not whole yet. */
	let partial: {readonly key: string; readonly size: number; readonly bytes: Uint8Array} | undefined;
	let pieces = 0;

	const fetchRest = async (address: string, {key, size, bytes: first}: ContentsPiece) => {
		pieces++;
		const isContinued = partial?.key === key && partial.size === size && partial.bytes.length > first.length;
		let bytes = isContinued ? partial!.bytes : first;
		while (bytes.length < size) {
			partial = {key, size, bytes};
			const piece = await peers.call(address, 'mirror-piece', {key, offset: bytes.length}, PIECE_TIMEOUT_MS);
			if (!piece.bytes || piece.bytes.length === 0) {
				return undefined;
			}

			pieces++;
			bytes = Buffer.concat([bytes, piece.bytes]);
		}

		return bytes;
	};

	return {
		get pieces() {
			return pieces;
		},
		async receive(address, first) {
			const whole = await fetchRest(address, first);
			if (!whole) {
				return undefined;
			}

			partial = undefined;
			try {
				const compact = isCompact(first.key);
				const difference = unpackr.unpack(compact ? inflateRawSync(whole, {maxOutputLength: MAX_UPDATE_BYTES}) : whole) as StateDifference;
				if (compact) {
					onCompact?.(first.key, whole);
				}

				return difference;
			} catch (err) {
				log.warn('an update of a peer cannot be read', {peer: address, size: first.size, reason: (err as Error).message});
				return undefined;
			}
		},
	};
}
