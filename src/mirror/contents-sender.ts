import {Packr} from 'msgpackr';
import {
	EMPTY_ID, EMPTY_PART, formatContentsId, type ContentsId,
} from './contents-id.js';
import {EMPTY_STATE, type MirrorState} from './mirror-state.js';
import {getStateDifference} from './state-difference.js';

/** A piece of what one copy lacks of another. */
export type ContentsPiece = {
	/** Names the whole that it is a piece of. */
	readonly key: string;
	/** Bytes of the whole. */
	readonly size: number;
	readonly bytes: Uint8Array;
};

/** Gives other hosts what their copies lack of this one's. */
export type ContentsSender = {
	/** Takes over the newest contents. */
	note(state: MirrorState, id: ContentsId): void;
	/** The first piece of what a host lacks that holds `held`; whole parts where this copy does not know what that host holds. */
	getFirstPiece(held: ContentsId): ContentsPiece;
	/** A later piece; undefined where what it belongs to is not at hand any more. */
	getPiece(key: string, offset: number): Uint8Array | undefined;
};

/** Contents that differences are taken from: hosts whose questions were under way during some changes hold one of these. */
const KEPT_CONTENTS = 12;

/** Differences that are kept encoded, for hosts that ask for the same one and for those that fetch its pieces. */
const KEPT_DIFFERENCES = 16;

/** Largest piece, in bytes. The next one is sent when it is asked for, so that requests on a slow link wait for no more than one. */
const PIECE_BYTES = 32_768;

/** Encodes the names of fields once a message and not once an item, of which there may be thousands. */
const packr = new Packr({useRecords: true});

/** Creates a sender that holds nothing. */
export function createContentsSender(): ContentsSender {
	const kept: Array<{readonly state: MirrorState; readonly id: ContentsId}> = [{state: EMPTY_STATE, id: EMPTY_ID}];
	const encoded = new Map<string, Uint8Array>();

	const getNewest = () => kept.at(-1)!;

	/** The contents that a host holds, pieced together of parts that this one has held; parts that it does not know are empty. */
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

	const encode = (key: string, held: ContentsId) => {
		const known = encoded.get(key);
		if (known) {
			return known;
		}

		const base = getBase(held);
		const next = getNewest();
		const bytes = packr.pack(getStateDifference(base.state, base.id, next.state, next.id));
		encoded.set(key, bytes);
		for (const oldest of [...encoded.keys()].slice(0, -KEPT_DIFFERENCES)) {
			encoded.delete(oldest);
		}

		return bytes;
	};

	return {
		note(state, id) {
			kept.push({state, id});
			kept.splice(0, kept.length - KEPT_CONTENTS);
		},
		getFirstPiece(held) {
			const key = `${formatContentsId(held)}>${formatContentsId(getNewest().id)}`;
			const whole = encode(key, held);
			return {key, size: whole.length, bytes: whole.subarray(0, PIECE_BYTES)};
		},
		getPiece: (key, offset) => encoded.get(key)?.subarray(offset, offset + PIECE_BYTES),
	};
}
