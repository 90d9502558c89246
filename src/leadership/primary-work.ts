import type {Clock} from '../time/clock.js';

/** Work of this host that is under way at primaries, so that a planned change can let it end. */
export type PrimaryWork = {
	/** Notes work that begins at a group's primary; the function returned notes its end. */
	begin(group: string): () => void;
	/** Resolves once nothing is under way there, at the latest after `ms`; true where nothing was left. */
	settle(group: string, ms: number): Promise<boolean>;
};

/** How often a wait for the end of work looks again, in milliseconds. */
const RECHECK_MS = 10;

/** Creates a count of the work under way. */
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
		async settle(group, ms) {
			const until = clock.now() + ms;
			while ((underWay.get(group) ?? 0) > 0 && clock.now() < until) {
				await clock.sleep(RECHECK_MS);
			}

			return (underWay.get(group) ?? 0) === 0;
		},
	};
}
