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

/** End of a log, as far as reads see it at `now`; the term is that of the last commit, `term` before the first. */
export function getVisibleEnd(log: readonly HeldCommit[], now: number, term: number): LogPosition {
	const last = log.findLast(({visibleAt}) => visibleAt <= now);
	return {term: last?.commit.term ?? term, position: last?.commit.position ?? 0};
}

/** Brings a log in line with its leader's: what the leader lacks is rolled back, what is new becomes visible at `visibleAt`. */
export function follow(log: HeldCommit[], leader: readonly HeldCommit[], visibleAt: number): void {
	let common = 0;
	while (common < log.length && log[common]!.commit === leader[common]?.commit) {
		common++;
	}

	log.length = common;
	for (const {commit} of leader.slice(common)) {
		// Commits are applied in order, also where the lag has just become shorter.
		log.push({commit, visibleAt: Math.max(visibleAt, log.at(-1)?.visibleAt ?? 0)});
	}
}
