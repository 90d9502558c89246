import type {ContentsId} from './contents-id.js';
import type {ContentsPiece} from './contents-sender.js';
import type {TreeHost} from './host-tree.js';

/** A long-poll request for a store update. */
export type StoreUpdateRequest = {
	/** Revision that the requesting host's copy is complete up to. */
	readonly revision: number;
	/** Identifies the contents of that copy. */
	readonly contents: ContentsId;
	/** Age of that copy's last confirmation but for its configuration, in milliseconds; undefined if it has none. A younger confirmation is an update. */
	readonly ageMs?: number;
	/** Whether the responding host reads the store first; otherwise the request is held until the next update. */
	readonly urgent: boolean;
	/** Whether an urgent request is also for the configuration, which may be large: the requesting host may not reach the store. */
	readonly readsRouting?: true;
	/** Maximum time to hold the request, in milliseconds; then it is answered without an update, so that the responding host is not taken to be dead. */
	readonly holdMs: number;
	/** Addresses of silent hosts: those that should have polled the requesting host, directly or through others, and did not. */
	readonly unheard: readonly string[];
	/** The place of the requesting host in the tree, where the layout of the tree needs it. Such a host accepts contents in compact form. */
	readonly place?: TreeHost;
};

/** A group whose primary remains valid although the store does not confirm it: its endpoints showed no fence of a later term. */
export type UnfencedGroup = {
	readonly group: string;
	readonly epoch: number;
	/** Time since the endpoints were queried, in milliseconds. */
	readonly ageMs: number;
};

/**
 * A store update. All ages refer to the moment at which it is sent. The requesting host subtracts them from a time before that moment, which is the time of its
 * request plus `heldMs`, so that nothing is dated later than it was true, however long the response takes.
 */
export type StoreUpdate = {
	/** Time for which the responding host held the request, in milliseconds. */
	readonly heldMs: number;
	/** Age of the last confirmation that the responding host's copy is complete but for its configuration, in milliseconds; undefined if it has none. */
	readonly ageMs?: number;
	/** Age of the last confirmation by the store itself, in milliseconds: hosts may have confirmed each other's copies since. */
	readonly withoutStoreMs?: number;
	readonly revision: number;
	/** Version of the responding host's configuration; 0 if it has none, absent from hosts of earlier versions. */
	readonly routing?: number;
	/** First piece of the difference between the requesting host's contents and the responding host's; undefined if there is none. */
	readonly update?: ContentsPiece;
	/** Groups that the responding host is changing, or whose leadership it knows to have changed since its copy of the store. */
	readonly changing: readonly string[];
	readonly unfenced: readonly UnfencedGroup[];
	/**
	 * Age of the last confirmation by the store that the responding host's configuration is the latest, in milliseconds. Present where that is not complete up to the revision, since a
	 * later one may be arriving there; infinite before the first.
	 */
	readonly wholeAgeMs?: number;
	/** Set where the responding host may not let the requesting one wait, since the two could wait for each other; nothing else in the response counts then. */
	readonly declined?: true;
};

declare module '../peers/peer-calls.js' {
	interface PeerCalls {
		'mirror-confirm': {req: StoreUpdateRequest; res: StoreUpdate};
		/** Requests a further piece of an update; the response has none if the responding host no longer keeps that update. */
		'mirror-piece': {req: {readonly key: string; readonly offset: number}; res: {readonly bytes?: Uint8Array}};
	}
}
