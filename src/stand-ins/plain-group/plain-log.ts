import type {LogPosition} from '../../terms/log-position.js';

/** A commit in a group's log. */
export type PlainCommit = {
	readonly term: number;
	/** Number of commits in the log up to and including this one. */
	readonly position: number;
	readonly writes: ReadonlyArray<{readonly item: string; readonly data: string; readonly statementId: string}>;
};

/** An entry of one server's log: a commit, and when it becomes visible there. */
export type LogEntry = {
	readonly commit: PlainCommit;
	/** Time from which reads on this server see the commit. */
	readonly visibleAt: number;
};

/** Returns the data of an item that a read sees at `now`; undefined where no visible commit wrote it. */
export function readItem(log: readonly LogEntry[], now: number, item: string): string | undefined {
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
 * Returns the end of the part of a log that reads see at `now`. Its term is 0 while no commit is visible: with the term of a new primary, a replica that
 * has applied nothing would count as ahead of every position of the previous term.
 */
export function getVisibleEnd(log: readonly LogEntry[], now: number): LogPosition {
	const last = log.findLast(({visibleAt}) => visibleAt <= now);
	return {term: last?.commit.term ?? 0, position: last?.commit.position ?? 0};
}

/** Makes a log equal to the primary's: commits that the primary lacks are rolled back, new ones become visible at `visibleAt`. */
export function alignLog(log: LogEntry[], primaryLog: readonly LogEntry[], visibleAt: number): void {
	// Logs that hold the same commit also hold the same commits before it, so the common prefix is searched from the end.
	let common = Math.min(log.length, primaryLog.length);
	while (common > 0 && log[common - 1]!.commit !== primaryLog[common - 1]!.commit) {
		common--;
	}

	log.length = common;
	for (let i = common; i < primaryLog.length; i++) {
		const {commit} = primaryLog[i]!;
		// Commits are applied in order, even after the lag was shortened.
		log.push({commit, visibleAt: Math.max(visibleAt, log.at(-1)?.visibleAt ?? 0)});
	}
}

/** Makes all entries that a log has received visible at `now`, as on a replica that has caught up. */
export function applyReceived(log: LogEntry[], now: number): void {
	for (const [i, {commit, visibleAt}] of log.entries()) {
		if (visibleAt > now) {
			log[i] = {commit, visibleAt: now};
		}
	}
}
