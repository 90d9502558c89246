import type {LogPosition} from '../../terms/log-position.js';

/** One commit in a server's log. */
export type PlainCommit = {
	readonly term: number;
	/** Count of commits up to and with this one. */
	readonly position: number;
	readonly writes: ReadonlyArray<{readonly item: string; readonly data: string; readonly statementId: string}>;
};

/** A commit as one server holds it. */
export type HeldCommit = {
	readonly commit: PlainCommit;
	/** Time from which reads of this server see it. */
	readonly visibleAt: number;
};

/** What a reader of the log sees of an item at `now`; undefined where nobody wrote it. */
export function readItem(log: readonly HeldCommit[], now: number, item: string): string | undefined {
	for (let i = log.length - 1; i >= 0; i--) {
		const {commit, visibleAt} = log[i]!;
		const written = visibleAt <= now ? commit.writes.findLast(write => write.item === item) : undefined;
		if (written) {
			return written.data;
		}
	}

	return undefined;
}

/**
 * End of a log, as far as reads see it at `now`. Before the first commit the term is 0: a server that followed a new primary without having
 * applied anything would else pass for one that is further than any position of the term before.
 */
export function getVisibleEnd(log: readonly HeldCommit[], now: number): LogPosition {
	const last = log.findLast(({visibleAt}) => visibleAt <= now);
	return {term: last?.commit.term ?? 0, position: last?.commit.position ?? 0};
}

/** Brings a log in line with its leader's: what the leader lacks is rolled back, what is new becomes visible at `visibleAt`. */
export function follow(log: HeldCommit[], leader: readonly HeldCommit[], visibleAt: number): void {
	// Logs that hold the same commit hold the same ones before it, so the common part is found from the end.
	let common = Math.min(log.length, leader.length);
	while (common > 0 && log[common - 1]!.commit !== leader[common - 1]!.commit) {
		common--;
	}

	log.length = common;
	for (let i = common; i < leader.length; i++) {
		const {commit} = leader[i]!;
		// Commits are applied in order, also where the lag has just become shorter.
		log.push({commit, visibleAt: Math.max(visibleAt, log.at(-1)?.visibleAt ?? 0)});
	}
}
