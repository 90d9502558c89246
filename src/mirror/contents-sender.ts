import {deflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';
import {
	EMPTY_ID, EMPTY_PART, formatContentsId, type ContentsId,
} from './contents-id.js';
import {EMPTY_STATE, type MirrorState} from './mirror-state.js';
import {getStateDifference} from './state-difference.js';

/** A piece of the encoded difference between two copies. */
export type ContentsPiece = {
	/** Identifies the difference that it is a piece of. */
	readonly key: string;
	/** Size of the whole difference, in bytes. */
	readonly size: number;
	readonly bytes: Uint8Array;
};

/** Sends other hosts the difference between their copies and this one. */
export type ContentsSender = {
	/** Records the newest contents. */
	addContents(state: MirrorState, id: ContentsId): void;
	/**
	 * Returns the first piece of the difference for a host that holds `held`; a part is sent whole if this copy does not know what that host holds of it. In compact form the
	 * difference is compressed and sent in smaller pieces.
	 */
	getFirstPiece(held: ContentsId, compact?: boolean): ContentsPiece;
	/** Keeps a difference in compact form that was received from another host, so that it is forwarded without being computed and compressed again. */
	keep(key: string, bytes: Uint8Array): void;
	/** Returns a later piece; undefined if its difference is no longer kept. */
	getPiece(key: string, offset: number): Uint8Array | undefined;
};

/** Number of recent contents that are kept as bases of differences, for hosts whose requests were in flight during a few changes. */
const MAX_KEPT_CONTENTS = 12;

/** Number of encoded differences that are kept, for hosts that request the same one and for those that fetch its pieces. */
const MAX_ENCODED_DIFFERENCES = 16;

/** Maximum size of a piece, in bytes. Each piece is sent on request, so that other traffic on a slow link waits for one piece at most. */
const MAX_PIECE_BYTES = 32_768;

/**
 * The same in compact form. Several hosts receive a large change from one host at once; on a link of 2 Mbit/s three pieces of 8 KB take 100 ms, whereas three of
 * 32 KB would exceed the time allowance of the requests.
 */
const MAX_COMPACT_PIECE_BYTES = 8192;

/** Marks the keys of differences in compact form. */
const COMPACT_MARK = '#';

/** Compression level: 1,700 routes shrink from 72 to 11 KB in 1 ms of a core; the highest level saves another 1 KB. */
const COMPRESSION_LEVEL = 3;

/** Encodes the field names once per message instead of once per item, since a message may hold thousands of items. */
const packr = new Packr({useRecords: true});

/** Creates a sender without contents. */
export function createContentsSender(): ContentsSender {
	const kept: Array<{readonly state: MirrorState; readonly id: ContentsId}> = [{state: EMPTY_STATE, id: EMPTY_ID}];
	const encoded = new Map<string, Uint8Array>();

	const getNewest = () => kept.at(-1)!;

	/** Returns the contents that a host holds, composed of the parts that this one has kept; unknown parts are empty. */
	const getBase = (held: ContentsId): {readonly state: MirrorState; readonly id: ContentsId} => {
		const find = (part: keyof ContentsId) => kept.findLast(({id}) => id[part] === held[part]);
		const [routing, endpoints, leadership, hosts] = [find('routing'), find('endpoints'), find('leadership'), find('hosts')];
		return {
			state: {
				revision: 0,
				routing: routing?.state.routing,
				endpoints: endpoints?.state.endpoints ?? [],
				leadership: leadership?.state.leadership ?? new Map(),
				duty: leadership?.state.duty,
				hosts: hosts?.state.hosts ?? [],
			},
			id: {
				routing: routing ? held.routing : 0,
				endpoints: endpoints ? held.endpoints : EMPTY_PART,
				leadership: leadership ? held.leadership : EMPTY_PART,
				hosts: hosts ? held.hosts : EMPTY_PART,
			},
		};
	};

	const keep = (key: string, bytes: Uint8Array) => {
		encoded.set(key, bytes);
		for (const oldest of [...encoded.keys()].slice(0, -MAX_ENCODED_DIFFERENCES)) {
			encoded.delete(oldest);
		}
	};

	const encode = (key: string, held: ContentsId, compact: boolean) => {
		const known = encoded.get(key);
		if (known) {
			return known;
		}

		const base = getBase(held);
		const next = getNewest();
		const whole = packr.pack(getStateDifference(base.state, base.id, next.state, next.id));
		const bytes = compact ? deflateRawSync(whole, {level: COMPRESSION_LEVEL}) : whole;
		keep(key, bytes);
		return bytes;
	};

	return {
		addContents(state, id) {
			kept.push({state, id});
			kept.splice(0, kept.length - MAX_KEPT_CONTENTS);
		},
		getFirstPiece(held, compact = false) {
			const key = `${formatContentsId(held)}>${formatContentsId(getNewest().id)}${compact ? COMPACT_MARK : ''}`;
			const whole = encode(key, held, compact);
			return {key, size: whole.length, bytes: whole.subarray(0, getMaxPieceBytes(key))};
		},
		keep,
		getPiece: (key, offset) => encoded.get(key)?.subarray(offset, offset + getMaxPieceBytes(key)),
	};
}

/** Returns whether the key is that of a difference in compact form. */
export function isCompact(key: string): boolean {
	return key.endsWith(COMPACT_MARK);
}

function getMaxPieceBytes(key: string): number {
	return isCompact(key) ? MAX_COMPACT_PIECE_BYTES : MAX_PIECE_BYTES;
}
