import type {Clock} from '../time/clock.js';

/** Counts this host's work in progress at primaries, so that a planned change can let it finish. */
export type PrimaryWork = {
	/** Counts work that begins at a group's primary; the returned function is to be called when it ends. */
	begin(group: string): () => void;
	/** Resolves once no work is in progress there, at the latest after `ms` milliseconds; to true if none is left. */
	drain(group: string, ms: number): Promise<boolean>;
};

/** Interval at which a wait for the end of work checks again, in milliseconds. */
const POLL_INTERVAL_MS = 10;

/** Creates an empty count. */
export function createPrimaryWork(clock: Clock): PrimaryWork {
	const underWay = new Map<string, number>();

	return {
		begin(group) {
			let ended = false;
			underWay.set(group, (underWay.get(group) ?? 0) + 1);
			return () => {
				if (!ended) {
					ended = true;
					underWay.set(group, underWay.get(group)! - 1);
				}
			};
		},
		async drain(group, ms) {
			const until = clock.now() + ms;
			while ((underWay.get(group) ?? 0) > 0 && clock.now() < until) {
				await clock.sleep(POLL_INTERVAL_MS);
			}

			return (underWay.get(group) ?? 0) === 0;
		},
	};
}
