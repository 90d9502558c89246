import type {Log} from '../log/log.js';
import {isPeerError} from '../peers/peer-errors.js';
import type {Peers} from '../peers/peers.js';
import type {ElapsedClock} from '../time/elapsed-clock.js';
import {EMPTY_ID, isSameContents, type ContentsId} from './contents-id.js';
import {createContentsReceiver} from './contents-receiver.js';
import type {TreeHost} from './host-tree.js';
import type {StoreUpdateRequest, StoreUpdate, UnfencedGroup} from './mirror-calls.js';
import type {MirrorCopy} from './mirror-copy.js';
import {formatQualified, getGeneration} from './store-generation.js';

/** A host's response, and its effect on the copy. */
export type PollResult = {
	readonly update: StoreUpdate;
	/** Whether the copy was confirmed to be complete at a time after the request. */
	readonly confirmed: boolean;
	/** Whether the response held a later confirmation than the one that was known. */
	readonly isLater: boolean;
	/** Whether the response held something newer than what was known, of endpoints for example. */
	readonly isNew: boolean;
};

/** Polls other hosts for store updates and applies them to the copy. */
export type ChangeFeedClient = {
	/** Requests a host's next update, for which that host holds the request up to `holdMs` milliseconds; undefined if it did not respond. */
	poll(address: string, holdMs: number): Promise<PollResult | undefined>;
	/** Has a host read the store before it responds, with the configuration if `readsRouting`; undefined if it did not respond. */
	pollUrgently(address: string, readsRouting?: boolean): Promise<PollResult | undefined>;
	/** Whether an update is being received in pieces. */
	readonly isReceiving: boolean;
	/** Number of pieces of updates that have arrived. */
	readonly pieces: number;
};

/** What the client of the change feed needs. */
export type ChangeFeedClientOptions = {
	readonly peers: Peers;
	readonly copy: MirrorCopy;
	readonly elapsedClock: ElapsedClock;
	readonly log: Log;
	/** The place of this host in the tree, which its requests name; undefined where the layout does not need it. */
	readonly place?: TreeHost;
	/** Keeps an update in compact form to be forwarded as it is; needed where `place` is defined. */
	keepUpdate?(key: string, bytes: Uint8Array): void;
	/** Returns the addresses of silent hosts: those that should have polled this one, directly or through others, and did not. */
	getSilent(): readonly string[];
	/** Records that a group's endpoints showed no fence when they were queried at the elapsed time `queriedAt`. */
	noteUnfenced(group: string, epoch: number, queriedAt: number): void;
};

/** Time allowed for a response beyond the hold time of its request, in milliseconds: about a hundred times the round trip. */
const NETWORK_ALLOWANCE_MS = 300;

/** Maximum hold time of an urgent request, in milliseconds: the responding host reads the store meanwhile. */
const URGENT_HOLD_MS = 400;

/** Creates the client. */
export function createChangeFeedClient({peers, copy, elapsedClock, log, place, keepUpdate, getSilent, noteUnfenced}: ChangeFeedClientOptions): ChangeFeedClient {
	const receiver = createContentsReceiver(peers, log, keepUpdate);
	/** Whether the last update could not be applied, so that the next request is for the full contents. */
	let requestsFullUpdate = false;
	let receiving = 0;

	const createRequest = (urgent: boolean, holdMs: number): StoreUpdateRequest => {
		const contents: ContentsId = requestsFullUpdate ? EMPTY_ID : copy.contentsId;
		return {
			revision: copy.state.revision,
			contents,
			ageMs: copy.partsConfirmedAt === undefined ? undefined : elapsedClock.elapsed() - copy.partsConfirmedAt,
			urgent,
			holdMs,
			unheard: getSilent(),
			...(place && {place}),
		};
	};

	/**
	 * Applies the revision of a host that holds the same contents as this one did at its request. Guards against contents that this host has read meanwhile: an entry that was
	 * added and was removed again by the responding host's revision would stay here for as long as nothing else changes.
	 */
	const applyRevision = (revision: number, sentContents: ContentsId) => {
		const isUnchanged = isSameContents(copy.contentsId, sentContents);
		if (isUnchanged) {
			copy.adopt({...copy.state, revision}, 0);
		}

		return isUnchanged;
	};

	/** Whether the copy holds everything up to `revision`. A revision of an earlier generation proves nothing about the current one. */
	const covers = (revision: number) => revision <= copy.state.revision && getGeneration(revision) === getGeneration(copy.state.revision);

	/**
	 * Whether the copy holds the configuration of the responding host, or a later one. It may hold all else up to the same revision without it, if it read the store meanwhile and
	 * left the configuration to this update.
	 */
	const holdsRoutingOf = ({routing, update}: StoreUpdate) => routing === undefined ? update === undefined : copy.contentsId.routing >= routing;

	/** Applies an update; resolves with whether the copy then holds everything that the responding host's copy does. */
	const applyContents = async (address: string, {revision, update}: StoreUpdate, sentContents: ContentsId): Promise<boolean> => {
		// An update to the revision held has a later configuration, which arrived there after the other parts.
		if (revision < copy.state.revision || (revision === copy.state.revision && !update)) {
			return covers(revision);
		}

		if (!update) {
			return applyRevision(revision, sentContents);
		}

		receiving++;
		const difference = await receiver.receive(address, update).finally(() => {
			receiving--;
		});
		const isApplied = difference !== undefined && copy.adoptDifference(difference, revision);
		requestsFullUpdate = difference !== undefined && !isApplied && revision > copy.state.revision;
		if (requestsFullUpdate) {
			log.info('a peer\'s update does not match the contents held; the full contents are requested', {
				peer: address, revision: formatQualified(revision), held: formatQualified(copy.state.revision),
			});
		}

		return isApplied || covers(revision);
	};

	/**
	 * Applies a confirmation and returns its time. The response was sent no earlier than `heldMs` after the request, so ages are subtracted from that earliest time, and
	 * no confirmation is dated too late.
	 */
	const applyConfirmation = ({heldMs, ageMs, withoutStoreMs, wholeAgeMs}: StoreUpdate, requestedAt: number, hasRouting: boolean) => {
		if (ageMs === undefined) {
			return undefined;
		}

		const sentAt = requestedAt + heldMs;
		copy.noteConfirmed(sentAt - ageMs, withoutStoreMs === undefined ? undefined : sentAt - withoutStoreMs);
		if (hasRouting && wholeAgeMs !== undefined && wholeAgeMs !== Number.POSITIVE_INFINITY) {
			copy.noteRoutingConfirmed(sentAt - wholeAgeMs);
		}

		return sentAt - ageMs;
	};

	const applyUnfenced = (unfenced: readonly UnfencedGroup[], sentAt: number) => {
		for (const {group, epoch, ageMs} of unfenced) {
			noteUnfenced(group, epoch, sentAt - ageMs);
		}
	};

	const applyUpdate = async (address: string, update: StoreUpdate, requestedAt: number, sentContents: ContentsId): Promise<PollResult> => {
		if (update.declined) {
			return {
				update, confirmed: false, isLater: false, isNew: false,
			};
		}

		const before = copy.partsConfirmedAt ?? Number.NEGATIVE_INFINITY;
		const isComplete = await applyContents(address, update, sentContents);
		const hasRouting = isComplete && holdsRoutingOf(update);
		if (hasRouting && update.wholeAgeMs === undefined) {
			copy.noteRoutingComplete(update.revision);
		}

		const confirmedAt = isComplete ? applyConfirmation(update, requestedAt, hasRouting) : undefined;
		applyUnfenced(update.unfenced, requestedAt + update.heldMs);
		const isLater = confirmedAt !== undefined && confirmedAt > before;
		return {
			update,
			confirmed: confirmedAt !== undefined && confirmedAt >= requestedAt,
			isLater,
			isNew: isLater || update.unfenced.length > 0,
		};
	};

	const sendRequest = async (address: string, request: StoreUpdateRequest) => {
		const requestedAt = elapsedClock.elapsed();
		try {
			const update = await peers.call(address, 'mirror-confirm', request, request.holdMs + NETWORK_ALLOWANCE_MS);
			return await applyUpdate(address, update, requestedAt, request.contents);
		} catch (err) {
			if (!isPeerError(err)) {
				throw err;
			}

			log.debug('a peer did not confirm', {peer: address, reason: err.message});
			return undefined;
		}
	};

	return {
		get isReceiving() {
			return receiving > 0;
		},
		get pieces() {
			return receiver.pieces;
		},
		poll: async (address, holdMs) => sendRequest(address, createRequest(false, holdMs)),
		pollUrgently: async (address, readsRouting = false) => sendRequest(address, {...createRequest(true, URGENT_HOLD_MS), ...(readsRouting && {readsRouting})}),
	};
}
