import {Buffer} from 'node:buffer';
import {inflateRawSync} from 'node:zlib';
import {Unpackr} from 'msgpackr';
import type {Log} from '../log/log.js';
import type {Peers} from '../peers/peers.js';
import {isCompact, type ContentsPiece} from './contents-sender.js';
import type {StateDifference} from './state-difference.js';

/** Reassembles the updates that other hosts send in pieces. */
export type ContentsReceiver = {
	/** Fetches the remaining pieces of an update and decodes it; undefined if the sender no longer keeps that update, or the update cannot be decoded. Rejects with PeerError. */
	receive(address: string, first: ContentsPiece): Promise<StateDifference | undefined>;
};

/** Timeout of the call for one piece, in milliseconds: about ten times its transfer time over a slow link that is in use. */
const PIECE_TIMEOUT_MS = 500;

/** Maximum size of a decompressed update, in bytes, far above that of any configuration: guards the memory of the host against damaged data. */
const MAX_UPDATE_BYTES = 64 * 1024 * 1024;

const unpackr = new Unpackr({useRecords: true});

/** Creates a receiver that fetches pieces with calls to peers; `onCompact` is called with each whole update in compact form that was decoded. */
export function createContentsReceiver(peers: Peers, log: Log, onCompact?: (key: string, bytes: Uint8Array) => void): ContentsReceiver {
	const fetchRest = async (address: string, {key, size, bytes: first}: ContentsPiece) => {
		const pieces = [first];
		let {length} = first;
		while (length < size) {
			const {bytes} = await peers.call(address, 'mirror-piece', {key, offset: length}, PIECE_TIMEOUT_MS);
			if (!bytes || bytes.length === 0) {
				return undefined;
			}

			pieces.push(bytes);
			length += bytes.length;
		}

		return Buffer.concat(pieces);
	};

	return {
		async receive(address, first) {
			const whole = await fetchRest(address, first);
			if (!whole) {
				return undefined;
			}

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
