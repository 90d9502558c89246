import type {Clock} from '../time/clock.js';

/** Counts this host's work in progress at primaries, so that a planned change can let it finish. */
export type PrimaryWork = {
	/** Counts work that begins at a group's primary; the returned function is to be called when it ends. */
	begin(group: string): () => void;
	/** Returns how many pieces of work began there per second lately. */
	getRate(group: string): number;
	/** Resolves once no work is in progress there, at the latest after `ms` milliseconds; to true if none is left. */
	drain(group: string, ms: number): Promise<boolean>;
};

/** Interval at which a wait for the end of work checks again, in milliseconds. */
const POLL_INTERVAL_MS = 10;

/** Time constant of the rate, in milliseconds: long enough to outlast the loss of a primary, short enough to follow demand that moves between zones. */
const RATE_MS = 10_000;

/** Creates an empty count. */
export function createPrimaryWork(clock: Clock): PrimaryWork {
	const underWay = new Map<string, number>();
	/** Work that began, each piece weighted by its age, as of a time. */
	const begun = new Map<string, {weight: number; at: number}>();

	const getWeight = (group: string, now: number) => {
		const known = begun.get(group);
		return known ? known.weight * Math.exp((known.at - now) / RATE_MS) : 0;
	};

	return {
		begin(group) {
			const now = clock.now();
			begun.set(group, {weight: getWeight(group, now) + 1, at: now});
			let ended = false;
			underWay.set(group, (underWay.get(group) ?? 0) + 1);
			return () => {
				if (!ended) {
					ended = true;
					underWay.set(group, underWay.get(group)! - 1);
				}
			};
		},
		getRate: group => getWeight(group, clock.now()) * 1000 / RATE_MS,
		async drain(group, ms) {
			const until = clock.now() + ms;
			while ((underWay.get(group) ?? 0) > 0 && clock.now() < until) {
				await clock.sleep(POLL_INTERVAL_MS);
			}

			return (underWay.get(group) ?? 0) === 0;
		},
	};
}
