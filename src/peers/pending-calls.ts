import type {PeerFigures} from './peer-figures.js';

/** A call without a response yet. */
export type PendingCall = {
	readonly id: number;
	readonly kind: string;
	/** Time at which its caller stops waiting, on the clock's `now`. */
	readonly deadlineAt: number;
	/** Whether its frame may have reached the peer. */
	written: boolean;
	resolve(res: unknown): void;
	reject(err: unknown): void;
};

/** The calls that wait for a response on one link, by id. */
export type PendingCalls = {
	readonly size: number;
	/** Adds a call under an id that this link has not used before. */
	add(call: Omit<PendingCall, 'id' | 'written'>): PendingCall;
	/** Returns whether the call is still pending. */
	has(id: number): boolean;
	/** Removes and returns the call that a response belongs to; if none is pending under the id, counts the response as dropped and returns undefined. */
	take(id: number): PendingCall | undefined;
	/** Removes and returns the calls whose deadline has passed; later responses to them are dropped. */
	takeExpired(now: number): readonly PendingCall[];
	/** Removes and returns all calls. */
	takeAll(): readonly PendingCall[];
	/** Returns the earliest deadline; Infinity if no call is pending. */
	getNextDeadline(): number;
};

/** Number of ids of expired calls that are kept to distinguish late responses from duplicates; responses to older ones count as duplicates. */
const MAX_EXPIRED_IDS = 10_000;

/**
 * Creates an empty set of pending calls.
 *
 * Guards against late, duplicated or reordered responses, by which a caller would see another request's rows. An id is never
 * reused, and it is removed at its first response or its deadline, so every response finds its own call or none.
 */
export function createPendingCalls(figures: PeerFigures): PendingCalls {
	const calls = new Map<number, PendingCall>();
	const expiredIds = new Set<number>();
	let lastId = 0;

	const countDropped = (id: number) => {
		if (expiredIds.delete(id)) {
			figures.lateAnswers++;
		} else if (id <= lastId) {
			figures.duplicateAnswers++;
		} else {
			figures.unknownAnswers++;
		}
	};

	const keepExpiredId = (id: number) => {
		expiredIds.add(id);
		if (expiredIds.size > MAX_EXPIRED_IDS) {
			const [oldest] = expiredIds;
			expiredIds.delete(oldest!);
		}
	};

	return {
		get size() {
			return calls.size;
		},
		add(call) {
			lastId++;
			const pending = {...call, id: lastId, written: false};
			calls.set(pending.id, pending);
			return pending;
		},
		has: id => calls.has(id),
		take(id) {
			const call = calls.get(id);
			if (!call) {
				countDropped(id);
				return undefined;
			}

			calls.delete(id);
			return call;
		},
		takeExpired(now) {
			const expired = [...calls.values()].filter(call => call.deadlineAt <= now);
			for (const {id} of expired) {
				calls.delete(id);
				keepExpiredId(id);
			}

			figures.timeouts += expired.length;
			return expired;
		},
		takeAll() {
			const all = [...calls.values()];
			calls.clear();
			return all;
		},
		getNextDeadline() {
			let next = Infinity;
			for (const {deadlineAt} of calls.values()) {
				next = Math.min(next, deadlineAt);
			}

			return next;
		},
	};
}
