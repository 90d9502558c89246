import {Outcome, type CallerResponse} from '../../src/callers/caller-response.js';
import {RefusalCode} from '../../src/refusals/refusal.js';
import type {DatabaseLog} from '../../src/stand-ins/database/database-log.js';

/** The table to which every write adds its key. */
export const TABLE = 'nights';

/** A request id, with what its callers were told about it. */
export type Key = {
	readonly id: string;
	/** The value that the request adds to the table. */
	readonly rowId: number;
	/** Number of submissions without an answer or with an unknown outcome. */
	open: number;
	/** Term of the first acknowledgement. */
	ackedTerm?: number;
	/** Set once a caller was told that a confirmed tombstone exists: the highest term that any server had promised then. */
	notRunTerm?: number;
};

/** What callers were told, and the violations found by comparing it with the logs. */
export type History = {
	readonly keys: readonly Key[];
	readonly violations: readonly string[];
	readonly figures: Figures;
	addKey(id: string): Key;
	/** Records the answer to a submission or to an outcome request. `highestTerm` is the highest term that any server has promised. */
	recordAnswer(key: Key, asked: 'write' | 'repeat' | 'resolve', answer: CallerResponse, highestTerm: number): void;
	/** Records a read's rows and checks that they contain the given keys. */
	recordRead(rows: ReadonlySet<unknown>, mustHold: Iterable<Key>, readName: string): void;
	recordPromotion(term: number, log: DatabaseLog): void;
	/** Checks the log that is left after all faults. */
	checkSurvivingLog(log: DatabaseLog): void;
};

/** Counts of a run. */
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

	const checkAcknowledged = (key: Key, runs: Runs, where: string) => {
		if ((runs.get(key.rowId) ?? 0) === 0) {
			violations.push(`acknowledged write lost: ${key.rowId} of term ${key.ackedTerm!} is missing ${where}`);
		}
	};

	const checkNotRun = (key: Key, runs: Runs, where: string) => {
		if ((runs.get(key.rowId) ?? 0) > 0) {
			violations.push(`not-run contradicted: ${key.rowId} ran ${where}`);
		}
	};

	const checkDuplicates = (runs: Runs, where: string) => {
		for (const [rowId, count] of runs) {
			if (count > 1) {
				violations.push(`ran twice: ${String(rowId)} ran ${count} times ${where}`);
			}
		}
	};

	const recordDone = (key: Key, term: number) => {
		figures.acknowledged++;
		key.ackedTerm = Math.min(key.ackedTerm ?? term, term);
		for (const promotion of promotions) {
			if (promotion.term > term) {
				checkAcknowledged({...key, ackedTerm: term}, promotion.runs, `in the promotion of term ${promotion.term}, before the acknowledgement`);
			}
		}
	};

	const recordNotRun = (key: Key, highestTerm: number) => {
		key.notRunTerm = Math.min(key.notRunTerm ?? highestTerm, highestTerm);
	};

	const checkContradiction = (key: Key) => {
		if (key.ackedTerm !== undefined && key.notRunTerm !== undefined) {
			violations.push(`not-run contradicted: ${key.rowId} was acknowledged as well`);
		}
	};

	return {
		keys,
		violations,
		figures,
		addKey(id) {
			const key: Key = {id, rowId: keys.length + 1, open: 0};
			keys.push(key);
			return key;
		},
		recordAnswer(key, asked, answer, highestTerm) {
			const code = answer.refusal?.code;
			if (answer.outcome === Outcome.Done) {
				recordDone(key, answer.term!);
			} else if (answer.outcome === Outcome.NotRun) {
				figures.notRun++;
				if (code === RefusalCode.Resolved || asked !== 'write') {
					recordNotRun(key, highestTerm);
				} else {
					// This submission can no longer run, but a later one with the same id can.
					key.open--;
				}
			} else {
				figures.unknown++;
			}

			checkContradiction(key);
		},
		recordRead(rows, mustHold, readName) {
			figures.reads++;
			for (const key of mustHold) {
				if (!rows.has(key.rowId)) {
					violations.push(`stale read: ${readName} lacks ${key.rowId} of term ${key.ackedTerm!}`);
				}
			}
		},
		recordPromotion(term, log) {
			figures.promotions++;
			const runs = countRuns(log);
			promotions.push({term, runs});
			checkDuplicates(runs, `at the promotion of term ${term}`);
			for (const key of keys) {
				if (key.ackedTerm !== undefined && term > key.ackedTerm) {
					checkAcknowledged(key, runs, `at the promotion of term ${term}`);
				}

				if (key.notRunTerm !== undefined && term > key.notRunTerm) {
					checkNotRun(key, runs, `at the promotion of term ${term}`);
				}
			}
		},
		checkSurvivingLog(log) {
			const runs = countRuns(log);
			checkDuplicates(runs, 'in the surviving log');
			for (const key of keys) {
				if (key.ackedTerm !== undefined) {
					checkAcknowledged(key, runs, 'in the surviving log');
				}

				if (key.notRunTerm !== undefined || key.open === 0) {
					checkNotRun(key, runs, 'in the surviving log');
				}
			}
		},
	};
}

/** Counts how often each row id was added. */
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
