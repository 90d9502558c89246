import type {Row} from '../../endpoints/endpoint.js';
import {DatabaseError, DatabaseErrorCode} from './database-errors.js';
import type {DatabaseState, TableChange, TableReader} from './database-state.js';
import type {RowLocks} from './row-locks.js';
import {executeStatement} from './statement-execution.js';
import {parseStatement} from './statement.js';
import {matchesAll, type StoredRow} from './table.js';

/** An open transaction: what it changed is its own until it commits. */
export type DatabaseTransaction = {
	/** True once a statement failed; it can then only be rolled back. */
	readonly failed: boolean;
	/** Runs a statement; throws DatabaseError where it fails. */
	run(statement: string, values: readonly unknown[]): readonly Row[];
	/** What to write to the log at the commit. */
	getChanges(): readonly TableChange[];
	/** Gives up its rows; to be called at the end, however it ends. */
	end(): void;
};

/** Opens a transaction on a server's committed state. */
export function createDatabaseTransaction(state: DatabaseState, locks: RowLocks): DatabaseTransaction {
	const changes: TableChange[] = [];
	const created = new Map<string, readonly string[]>();
	const changed = new Map<string, Map<number, Row | undefined>>();
	const owner = {};
	let failed = false;

	const tables: TableReader = {
		getColumns: table => state.getColumns(table) ?? created.get(table),
		allocateRowId: () => state.allocateRowId(),
		findRows(table, conditions) {
			const own = changed.get(table);
			const committed = state.findRows(table, conditions);
			if (!own) {
				return committed;
			}

			const ownRows = [...own].flatMap(([rowId, row]): StoredRow[] => row && matchesAll(row, conditions) ? [{rowId, row}] : []);
			return [...committed.filter(({rowId}) => !own.has(rowId)), ...ownRows];
		},
	};

	const keep = (change: TableChange) => {
		changes.push(change);
		if (change.kind === 'create') {
			created.set(change.table, change.columns);
			return;
		}

		const rows = changed.get(change.table) ?? new Map<number, Row | undefined>();
		rows.set(change.rowId, change.after);
		changed.set(change.table, rows);
	};

	return {
		get failed() {
			return failed;
		},
		run(statement, values) {
			if (failed) {
				throw new DatabaseError('current transaction is aborted', {props: {code: DatabaseErrorCode.TransactionFailed}});
			}

			try {
				const outcome = executeStatement(parseStatement(statement), values, tables);
				for (const change of outcome.changes) {
					if (change.kind === 'row') {
						locks.take(change.table, change.rowId, owner);
					}
				}

				for (const change of outcome.changes) {
					keep(change);
				}

				return outcome.rows;
			} catch (err) {
				failed = true;
				throw err;
			}
		},
		// Another transaction may have created the table meanwhile.
		getChanges: () => changes.filter(change => change.kind === 'row' || state.getColumns(change.table) === undefined),
		end() {
			locks.release(owner);
		},
	};
}
