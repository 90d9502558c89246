import {Outcome, type CallerResponse} from '../../src/callers/caller-response.js';
import {RefusalCode} from '../../src/refusals/refusal.js';
import type {DatabaseLog} from '../../src/stand-ins/database/database-log.js';

/** The table that every write adds its key to. */
export const TABLE = 'nights';

/** One request id as its callers know it. */
export type Key = {
	readonly id: string;
	/** The value that its run adds to the table. */
	readonly night: number;
	/** Submissions without an answer or with one that leaves the outcome open. */
	open: number;
	/** Term of the first acknowledgement. */
	ackedTerm?: number;
	/** A caller was told that a confirmed tombstone stands; the highest term promised by any server then. */
	settledTerm?: number;
};

/** What callers were told, held against the logs. */
export type History = {
	readonly keys: readonly Key[];
	readonly violations: readonly string[];
	readonly figures: Figures;
	addKey(id: string): Key;
	/** Notes the answer to a submission or to a question for its outcome; `highestTerm` is what any server has promised. */
	noteAnswer(key: Key, asked: 'write' | 'repeat' | 'resolve', answer: CallerResponse, highestTerm: number): void;
	/** Notes a read's rows with what they must hold. */
	noteRead(rows: ReadonlySet<unknown>, mustHold: Iterable<Key>, what: string): void;
	notePromotion(term: number, log: DatabaseLog): void;
	/** Judges the log that survived everything. */
	judgeSurvivor(log: DatabaseLog): void;
};

/** What a run did. */
export type Figures = {
	acknowledged: number;
	notRun: number;
	unknown: number;
	promotions: number;
	reads: number;
};

type Runs = ReadonlyMap<unknown, number>;

/** Creates an empty history. */
export function createHistory(): History {
	const keys: Key[] = [];
	const violations: string[] = [];
	const promotions: Array<{readonly term: number; readonly runs: Runs}> = [];
	const figures: Figures = {
		acknowledged: 0, notRun: 0, unknown: 0, promotions: 0, reads: 0,
	};

	const judgeAcked = (key: Key, runs: Runs, where: string) => {
		if ((runs.get(key.night) ?? 0) === 0) {
			violations.push(`acknowledged write lost: ${key.night} of term ${key.ackedTerm!} is missing ${where}`);
		}
	};

	const judgeSettled = (key: Key, runs: Runs, where: string) => {
		if ((runs.get(key.night) ?? 0) > 0) {
			violations.push(`not-run contradicted: ${key.night} ran ${where}`);
		}
	};

	const judgeTwice = (runs: Runs, where: string) => {
		for (const [night, count] of runs) {
			if (count > 1) {
				violations.push(`ran twice: ${String(night)} ran ${count} times ${where}`);
			}
		}
	};

	const noteDone = (key: Key, term: number) => {
		figures.acknowledged++;
		key.ackedTerm = Math.min(key.ackedTerm ?? term, term);
		for (const promotion of promotions) {
			if (promotion.term > term) {
				judgeAcked({...key, ackedTerm: term}, promotion.runs, `in the promotion of term ${promotion.term}, before the acknowledgement`);
			}
		}
	};

	const noteSettled = (key: Key, highestTerm: number) => {
		key.settledTerm = Math.min(key.settledTerm ?? highestTerm, highestTerm);
	};

	const judgeContradiction = (key: Key) => {
		if (key.ackedTerm !== undefined && key.settledTerm !== undefined) {
			violations.push(`not-run contradicted: ${key.night} was acknowledged as well`);
		}
	};

	return {
		keys,
		violations,
		figures,
		addKey(id) {
			const key: Key = {id, night: keys.length + 1, open: 0};
			keys.push(key);
			return key;
		},
		noteAnswer(key, asked, answer, highestTerm) {
			const code = answer.refusal?.code;
			if (answer.outcome === Outcome.Done) {
				noteDone(key, answer.term!);
			} else if (answer.outcome === Outcome.NotRun) {
				figures.notRun++;
				if (code === RefusalCode.Resolved || asked !== 'write') {
					noteSettled(key, highestTerm);
				} else {
					// This submission cannot run any more; a later one of the same id may.
					key.open--;
				}
			} else {
				figures.unknown++;
			}

			judgeContradiction(key);
		},
		noteRead(rows, mustHold, what) {
			figures.reads++;
			for (const key of mustHold) {
				if (!rows.has(key.night)) {
					violations.push(`stale read: ${what} lacks ${key.night} of term ${key.ackedTerm!}`);
				}
			}
		},
		notePromotion(term, log) {
			figures.promotions++;
			const runs = countRuns(log);
			promotions.push({term, runs});
			judgeTwice(runs, `at the promotion of term ${term}`);
			for (const key of keys) {
				if (key.ackedTerm !== undefined && term > key.ackedTerm) {
					judgeAcked(key, runs, `at the promotion of term ${term}`);
				}

				if (key.settledTerm !== undefined && term > key.settledTerm) {
					judgeSettled(key, runs, `at the promotion of term ${term}`);
				}
			}
		},
		judgeSurvivor(log) {
			const runs = countRuns(log);
			judgeTwice(runs, 'in the surviving log');
			for (const key of keys) {
				if (key.ackedTerm !== undefined) {
					judgeAcked(key, runs, 'in the surviving log');
				}

				if (key.settledTerm !== undefined || key.open === 0) {
					judgeSettled(key, runs, 'in the surviving log');
				}
			}
		},
	};
}

/** How often each night was added. */
function countRuns(log: DatabaseLog): Runs {
	const runs = new Map<unknown, number>();
	for (let position = 1; position <= log.end.position; position++) {
		for (const change of log.get(position)!.effect.changes) {
			if (change.kind === 'row' && change.table === TABLE && change.after) {
				const {id} = change.after;
				runs.set(id, (runs.get(id) ?? 0) + 1);
			}
		}
	}

	return runs;
}
