import type {Row} from '../../endpoints/endpoint.js';
import {DatabaseError, DatabaseErrorCode} from './database-errors.js';
import type {DatabaseState, TableChange, TableReader} from './database-state.js';
import type {RowLocks} from './row-locks.js';
import {executeStatement} from './statement-execution.js';
import {parseStatement} from './statement.js';
import {matchesAll, type StoredRow} from './table.js';

/** An open transaction; its changes are visible only to itself until it commits. */
export type DatabaseTransaction = {
	/** True once a statement has failed; the transaction can then only be rolled back. */
	readonly failed: boolean;
	/** Runs a statement; throws DatabaseError if it fails. */
	run(statement: string, values: readonly unknown[]): readonly Row[];
	/** Returns the changes to write to the log at the commit. */
	getChanges(): readonly TableChange[];
	/** Releases its row locks; must be called at the end, also after a rollback. */
	end(): void;
};

/** Opens a transaction on the committed state of a server. */
export function createDatabaseTransaction(state: DatabaseState, locks: RowLocks): DatabaseTransaction {
	const changes: TableChange[] = [];
	const createdTables = new Map<string, readonly string[]>();
	const changedRows = new Map<string, Map<number, Row | undefined>>();
	const owner = {};
	let failed = false;

	const tables: TableReader = {
		getColumns: table => state.getColumns(table) ?? createdTables.get(table),
		allocateRowId: () => state.allocateRowId(),
		findRows(table, conditions) {
			const ownChanges = changedRows.get(table);
			const committed = state.findRows(table, conditions);
			if (!ownChanges) {
				return committed;
			}

			const ownRows = [...ownChanges].flatMap(([rowId, row]): StoredRow[] => row && matchesAll(row, conditions) ? [{rowId, row}] : []);
			return [...committed.filter(({rowId}) => !ownChanges.has(rowId)), ...ownRows];
		},
	};

	const recordChange = (change: TableChange) => {
		changes.push(change);
		if (change.kind === 'create') {
			createdTables.set(change.table, change.columns);
			return;
		}

		const rows = changedRows.get(change.table) ?? new Map<number, Row | undefined>();
		rows.set(change.rowId, change.after);
		changedRows.set(change.table, rows);
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
						locks.acquire(change.table, change.rowId, owner);
					}
				}

				for (const change of outcome.changes) {
					recordChange(change);
				}

				return outcome.rows;
			} catch (err) {
				failed = true;
				throw err;
			}
		},
		// Another transaction may have created the table since.
		getChanges: () => changes.filter(change => change.kind === 'row' || state.getColumns(change.table) === undefined),
		end() {
			locks.release(owner);
		},
	};
}
