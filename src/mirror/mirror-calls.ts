import type {ContentsId} from './contents-id.js';
import type {ContentsPiece} from './contents-sender.js';

/** A question for news of the store. */
export type NewsQuestion = {
	/** Revision that the asking host's copy is complete up to. */
	readonly revision: number;
	/** What it holds. */
	readonly contents: ContentsId;
	/** Age of its last confirmation, in milliseconds; undefined where it has none. Younger ones are news to it. */
	readonly ageMs?: number;
	/** The store is to be read for the answer; else the question waits for the next news. */
	readonly urgent: boolean;
	/** Longest wait for news, in milliseconds; then it is answered without, so that the answering host is not taken to be dead. */
	readonly holdMs: number;
	/** Addresses of hosts that should have asked the asking host and did not. */
	readonly unheard: readonly string[];
};

/** A group whose primary holds although the store does not confirm: its endpoints showed no fence of a later term. */
export type UnfencedGroup = {
	readonly group: string;
	readonly epoch: number;
	/** How long ago the endpoints were asked, in milliseconds. */
	readonly ageMs: number;
};

/**
 * News of the store. All ages are of the moment at which it was sent. The asking host counts them back from a time that was before that moment, its question and
 * the time for which this was held here, so that nothing counts from later than it was true, however long the answer takes.
 */
export type StoreNews = {
	/** How long the question waited at the answering host, in milliseconds. */
	readonly heldMs: number;
	/** Age of the confirmation that the answering host's copy is complete; undefined where it has none. */
	readonly ageMs?: number;
	/** Age of the last confirmation by the store itself: hosts may have confirmed each other's copies since. */
	readonly withoutStoreMs?: number;
	readonly revision: number;
	/** What the asking host lacks of what the answering one holds, its first piece. */
	readonly update?: ContentsPiece;
	/** Groups that the answering host is changing, or whose change it asked for without hearing how that ended. */
	readonly changing: readonly string[];
	readonly unfenced: readonly UnfencedGroup[];
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'mirror-confirm': {req: NewsQuestion; res: StoreNews};
		/** Asks for a further piece of an update; answered without one where the answering host has newer contents. */
		'mirror-piece': {req: {readonly key: string; readonly offset: number}; res: {readonly bytes?: Uint8Array}};
	}
}
