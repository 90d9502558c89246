import type {Log} from '../log/log.js';
import type {Routing} from '../routes/routing.js';
import {
	EMPTY_ID, getContentsId, isSameContents, type ContentsId,
} from './contents-id.js';
import {
	EMPTY_STATE, getLaterLeadership, getLaterRouting, hasRecordsToRewrite, type MirrorState,
} from './mirror-state.js';
import {createRoutingConfirmation} from './routing-confirmation.js';
import {formatQualified, getGeneration} from './store-generation.js';
import {applyStateDifference, getStateDifference, type StateDifference} from './state-difference.js';

/** A host's copy of the store, and the time up to which it was confirmed to be complete. */
export type MirrorCopy = {
	readonly state: MirrorState;
	readonly contentsId: ContentsId;
	/** Elapsed time at which the last confirmation that all parts but the configuration were complete was requested; undefined before the first. */
	readonly partsConfirmedAt: number | undefined;
	/** The same for the last confirmation by the store itself, to this host or to a peer. */
	readonly storeConfirmedAt: number | undefined;
	/** The same for the last confirmation by the store that the configuration is the latest. Hosts cannot confirm it together: the operator changes it without them. */
	readonly routingConfirmedAt: number | undefined;
	/** Whether the configuration is complete up to the revision of the copy. */
	readonly isRoutingComplete: boolean;
	/** Applies what was read from the store, unless it is older than the copy; the configuration may be the one held, complete up to `routingRevision` only. */
	adopt(read: MirrorState, routingRevision?: number): void;
	/** Applies a configuration that is complete up to `revision`, and was requested from the store at the elapsed time `askedAt`. */
	adoptRouting(routing: Routing | undefined, revision: number, askedAt: number): void;
	/** Records that the configuration held is complete up to `revision`. */
	noteRoutingComplete(revision: number): void;
	/** Records that the store had confirmed at the elapsed time `at` that the configuration held, or an earlier one, was the latest. */
	noteRoutingConfirmed(at: number): void;
	/** Applies a difference from a peer whose copy is complete up to `revision`; returns false if it is older than the copy or does not match its contents. */
	adoptDifference(difference: StateDifference, revision: number): boolean;
	/** Records that all parts but the configuration were complete at the elapsed time `at`, and that the store itself had confirmed them at `storeAt`: with the configuration, where that is complete up to their revision. */
	noteConfirmed(at: number, storeAt?: number): void;
	/** Calls `listener` after each change of the contents. */
	onContents(listener: (state: MirrorState, id: ContentsId) => void): void;
	/** Calls `listener` after each confirmation, once the contents that it confirms are applied. */
	onChange(listener: () => void): void;
};

/** Creates an empty copy. */
export function createMirrorCopy(log: Log): MirrorCopy {
	const contentsListeners: Array<(state: MirrorState, id: ContentsId) => void> = [];
	const listeners: Array<() => void> = [];
	let state = EMPTY_STATE;
	let contentsId = EMPTY_ID;
	let partsConfirmedAt: number | undefined;
	let storeConfirmedAt: number | undefined;
	let routingRevision = 0;

	const routingConfirmation = createRoutingConfirmation();

	const detectRestore = (before: MirrorState, read: MirrorState) => {
		const isFirst = before.revision === 0;
		const isRestored = isFirst ? hasRecordsToRewrite(read) : getGeneration(read.revision) !== getGeneration(before.revision);
		if (!isRestored) {
			return;
		}

		routingConfirmation.noteRestore((isFirst ? read : before).routing?.version ?? 0);
		log.warn('the store has come back from a copy', {
			generation: getGeneration(read.revision),
			held: formatQualified(before.revision),
			revision: formatQualified(read.revision),
			routing: before.routing?.version,
			routingRead: read.routing?.version,
		});
	};

	const noteRoutingComplete = (revision: number) => {
		routingRevision = Math.max(routingRevision, revision);
	};

	const isRoutingComplete = () => routingRevision >= state.revision;

	const noteRoutingConfirmed = (at: number) => {
		routingConfirmation.noteConfirmed(at, state.routing?.version ?? 0);
	};

	const notifyListeners = () => {
		for (const listener of listeners) {
			listener();
		}
	};

	const replaceState = (read: MirrorState) => {
		const before = state;
		detectRestore(before, read);
		state = {...read, routing: getLaterRouting(before.routing, read.routing), leadership: getLaterLeadership(before.leadership, read.leadership)};
		if (state.routing?.version !== before.routing?.version) {
			log.info('a configuration is in force', {version: state.routing?.version, before: before.routing?.version, revision: formatQualified(state.revision)});
		}

		const id = getContentsId(state);
		if (!isSameContents(id, contentsId)) {
			contentsId = id;
			for (const listener of contentsListeners) {
				listener(state, id);
			}
		}
	};

	return {
		get state() {
			return state;
		},
		get contentsId() {
			return contentsId;
		},
		get partsConfirmedAt() {
			return partsConfirmedAt;
		},
		get storeConfirmedAt() {
			return storeConfirmedAt;
		},
		get routingConfirmedAt() {
			return routingConfirmation.confirmedAt;
		},
		get isRoutingComplete() {
			return isRoutingComplete();
		},
		noteRoutingComplete,
		noteRoutingConfirmed,
		adoptRouting(routing, revision, askedAt) {
			// One of an earlier generation was read before the store was restored.
			if (getGeneration(revision) !== getGeneration(state.revision)) {
				return;
			}

			noteRoutingComplete(revision);
			replaceState({...state, routing});
			noteRoutingConfirmed(askedAt);
			notifyListeners();
		},
		adopt(read, completeRevision = read.revision) {
			if (read.revision < state.revision) {
				return;
			}

			noteRoutingComplete(completeRevision);

			// Applied as a difference, so that unchanged parts stay the same objects: readers of the state detect changes by identity.
			const difference = getStateDifference(state, contentsId, read, getContentsId(read));
			replaceState(applyStateDifference(state, contentsId, difference, read.revision) ?? read);
		},
		adoptDifference(difference, revision) {
			if (revision < state.revision) {
				return false;
			}

			const next = applyStateDifference(state, contentsId, difference, revision);
			if (next) {
				// The lists may hold changes beyond the revision, which the peer's need not hold.
				replaceState(revision === state.revision ? {...state, routing: next.routing} : next);
			}

			return next !== undefined;
		},
		noteConfirmed(at, storeAt) {
			if (storeAt !== undefined) {
				storeConfirmedAt = Math.max(storeConfirmedAt ?? storeAt, storeAt);
				if (isRoutingComplete()) {
					noteRoutingConfirmed(storeAt);
				}
			}

			partsConfirmedAt = Math.max(partsConfirmedAt ?? at, at);
			notifyListeners();
		},
		onContents(listener) {
			contentsListeners.push(listener);
		},
		onChange(listener) {
			listeners.push(listener);
		},
	};
}
