/**
 * How many tries one group may have beyond the first ones: a share of its fresh requests, and a small floor.
 *
 * It guards against a retry storm: when a group fails every request, each of them tried several times would multiply
 * the load on what is left of it and keep it from coming back. With the budget the load stays within
 * `1 + share` times the fresh requests, however many fail.
 */
export type RetryBudget = {
	/** Notes the first try of a request. */
	noteFresh(now: number): void;
	/** Takes a retry of that cost (default 1) out of the budget; false where less is left. */
	take(now: number, cost?: number): boolean;
	/** What is left. */
	getState(now: number): RetryBudgetState;
};

/** What is left of a budget at one moment. */
export type RetryBudgetState = {
	/** Retries that may be made now; a fraction is on its way to the next one. */
	readonly left: number;
	/** How long until one more retry may be made at the present rate of fresh requests, in milliseconds; 0 where one may be made now. */
	readonly nextAfterMs: number;
	/** Mean time between fresh requests, in milliseconds; Infinity where there were none. */
	readonly freshEveryMs: number;
};

/** What a budget is made of. */
export type RetryBudgetOptions = {
	/** Retries for each fresh request; default 0.1. */
	readonly share?: number;
	/** Retries a second that a group may always have, so that a quiet group is not left without; default 0.5. */
	readonly floorPerSecond?: number;
	/** How long an unused retry is kept, as a time constant in milliseconds; default 10,000. */
	readonly keepMs?: number;
};

const DEFAULT_SHARE = 0.1;
const DEFAULT_FLOOR_PER_SECOND = 0.5;
const DEFAULT_KEEP_MS = 10_000;

/** Creates a full floor's budget for one group. */
export function createRetryBudget(options: RetryBudgetOptions, now: number): RetryBudget {
	const share = options.share ?? DEFAULT_SHARE;
	const keepMs = options.keepMs ?? DEFAULT_KEEP_MS;
	const floorPerMs = (options.floorPerSecond ?? DEFAULT_FLOOR_PER_SECOND) / 1000;
	let left = floorPerMs * keepMs;
	/** Fresh requests, each fading with the time constant. */
	let fresh = 0;
	let agedTo = now;

	const age = (until: number) => {
		if (until <= agedTo) {
			return;
		}

		const kept = Math.exp((agedTo - until) / keepMs);
		// The floor alone settles at what it yields within one time constant.
		left = (left * kept) + (floorPerMs * keepMs * (1 - kept));
		fresh *= kept;
		agedTo = until;
	};

	const getNextAfterMs = () => {
		const incomePerMs = (share * fresh / keepMs) + floorPerMs;
		return left >= 1 ? 0 : Math.ceil((1 - left) / incomePerMs);
	};

	return {
		noteFresh(at) {
			age(at);
			fresh++;
			left += share;
		},
		take(at, cost = 1) {
			age(at);
			if (left < cost) {
				return false;
			}

			left -= cost;
			return true;
		},
		getState(at) {
			age(at);
			return {left, nextAfterMs: getNextAfterMs(), freshEveryMs: keepMs / fresh};
		},
	};
}
