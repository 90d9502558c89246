/**
 * The number of retries that one group may have: a share of its fresh requests, and a small minimum rate.
 *
 * It guards against a retry storm: when every request of a group fails, several tries of each would multiply
 * the load on its remaining servers and keep the group from recovering. With the budget the load stays within
 * `1 + share` times the fresh requests, however many fail.
 */
export type RetryBudget = {
	/** Records a fresh request: the first try of a request. */
	noteFresh(now: number): void;
	/** Records whether a try was refused for overload; only budgets with `shrinksWithRefusals` depend on it. */
	noteTry(wasRefused: boolean, now: number): void;
	/** Takes a retry of that cost (default 1) from the budget; returns false and takes nothing where less is left. */
	take(now: number, cost?: number): boolean;
	/** Returns what is left of the budget. */
	getState(now: number): RetryBudgetState;
};

/** What is left of a budget at one moment. */
export type RetryBudgetState = {
	/** Number of retries that may be made now; a fraction counts towards the next one. */
	readonly left: number;
	/** Time until one more retry may be made at the present rate of fresh requests, in milliseconds; 0 where one may be made now. */
	readonly nextAfterMs: number;
	/** Mean time between fresh requests, in milliseconds; Infinity where there were none. */
	readonly freshEveryMs: number;
};

/** Options of a retry budget. */
export type RetryBudgetOptions = {
	/** Retries for each fresh request; default 0.1. */
	readonly share?: number;
	/** Retries per second that a group may always have, so that one with few requests can retry too; default 0.5. */
	readonly floorPerSecond?: number;
	/** Time constant with which unused retries expire, in milliseconds; default 10,000. */
	readonly keepMs?: number;
	/**
	 * Whether the share shrinks by the share of tries that were refused for overload; default false. A retry of a group that refuses most tries is refused as
	 * well, and takes the place of a fresh request.
	 */
	readonly shrinksWithRefusals?: boolean;
};

const DEFAULT_SHARE = 0.1;
const DEFAULT_FLOOR_PER_SECOND = 0.5;
const DEFAULT_KEEP_MS = 10_000;

/** Weight of the newest try in the share of refused tries: some 50 tries count, so that the share follows an overload within a second. */
const REFUSED_WEIGHT = 0.02;

/** Creates the budget of one group, with as many retries as the minimum rate yields in one time constant. */
export function createRetryBudget(options: RetryBudgetOptions, now: number): RetryBudget {
	const share = options.share ?? DEFAULT_SHARE;
	const keepMs = options.keepMs ?? DEFAULT_KEEP_MS;
	const floorPerMs = (options.floorPerSecond ?? DEFAULT_FLOOR_PER_SECOND) / 1000;
	let left = floorPerMs * keepMs;
	/** Number of fresh requests, with exponential decay by the time constant. */
	let freshCount = 0;
	let decayedTo = now;
	let refusedShare = 0;

	const decay = (until: number) => {
		if (until <= decayedTo) {
			return;
		}

		const kept = Math.exp((decayedTo - until) / keepMs);
		// Without fresh requests the budget converges to what the minimum rate yields in one time constant.
		left = (left * kept) + (floorPerMs * keepMs * (1 - kept));
		freshCount *= kept;
		decayedTo = until;
	};

	/** Returns the retries for a fresh request. */
	const getShare = () => options.shrinksWithRefusals ? share * (1 - refusedShare) : share;

	const getNextAfterMs = () => {
		const incomePerMs = (getShare() * freshCount / keepMs) + floorPerMs;
		return left >= 1 ? 0 : Math.ceil((1 - left) / incomePerMs);
	};

	return {
		noteFresh(at) {
			decay(at);
			freshCount++;
			left += getShare();
		},
		noteTry(wasRefused) {
			refusedShare += REFUSED_WEIGHT * ((wasRefused ? 1 : 0) - refusedShare);
		},
		take(at, cost = 1) {
			decay(at);
			if (left < cost) {
				return false;
			}

			left -= cost;
			return true;
		},
		getState(at) {
			decay(at);
			return {left, nextAfterMs: getNextAfterMs(), freshEveryMs: keepMs / freshCount};
		},
	};
}
