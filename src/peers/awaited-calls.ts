import type {PeerFigures} from './peer-figures.js';

/** A call that has no answer yet. */
export type AwaitedCall = {
	readonly id: number;
	readonly kind: string;
	/** When its caller stops waiting, on the clock's `now`. */
	readonly deadlineAt: number;
	/** True once its frame may have reached the peer. */
	written: boolean;
	resolve(res: unknown): void;
	reject(err: unknown): void;
};

/** The calls that wait for an answer on one link, by id. */
export type AwaitedCalls = {
	readonly size: number;
	/** Adds a call under an id that this link has not used before. */
	add(call: Omit<AwaitedCall, 'id' | 'written'>): AwaitedCall;
	/** Tells whether the call still waits. */
	has(id: number): boolean;
	/** Takes the call that an answer belongs to; undefined, and counted, where none waits under the id. */
	take(id: number): AwaitedCall | undefined;
	/** Takes the calls whose deadline has come; answers that come for them later are dropped. */
	takeExpired(now: number): readonly AwaitedCall[];
	/** Takes all calls. */
	takeAll(): readonly AwaitedCall[];
	/** The earliest deadline, Infinity where no call waits. */
	getNextDeadline(): number;
};

/** Ids of expired calls kept to tell a late answer from a duplicate one; older ones count as duplicates. */
const EXPIRED_IDS_KEPT = 10_000;

/**
 * Creates an empty set of awaited calls.
 *
 * Guards against answers that are late, doubled or crossed: a caller would see another request's rows. An id is never
 * reused and leaves the set with its first answer or at its deadline, so every answer finds its own call or none.
 */
export function createAwaitedCalls(figures: PeerFigures): AwaitedCalls {
	const calls = new Map<number, AwaitedCall>();
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
		if (expiredIds.size > EXPIRED_IDS_KEPT) {
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
			const awaited = {...call, id: lastId, written: false};
			calls.set(awaited.id, awaited);
			return awaited;
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
