import type {Row} from '../../endpoints/endpoint.js';
import type {Condition} from './statement.js';
import {createTable, type StoredRow, type Table} from './table.js';

/** One change of a committed entry; it holds the row before and after, so that it can be reverted. */
export type TableChange =
	| {readonly kind: 'create'; readonly table: string; readonly columns: readonly string[]}
	| {readonly kind: 'row'; readonly table: string; readonly rowId: number; readonly before?: Row; readonly after?: Row};

/** The record stored under a request key. */
export type KeyRecord =
	| {readonly kind: 'answer'; readonly digest: string; readonly rows: readonly Row[]}
	| {readonly kind: 'tombstone'};

/** The changes of one log entry; an entry without changes and key marks the start of a term. */
export type LogEffect = {
	readonly key?: {readonly requestId: string; readonly record: KeyRecord};
	readonly changes: readonly TableChange[];
};

/** The tables as visible to a statement. */
export type TableReader = {
	/** Returns the names of the table's columns; undefined if there is no such table. */
	getColumns(table: string): readonly string[] | undefined;
	/** Returns the rows of a table that meet all conditions. */
	findRows(table: string, conditions: readonly BoundCondition[]): readonly StoredRow[];
	/** Returns a row id that was not used before. */
	allocateRowId(): number;
};

/** A condition whose operand has been replaced by its value. */
export type BoundCondition = Pick<Condition, 'column'> & {readonly value: unknown};

/** Tables and request keys: the state that results from applying a server's log. */
export type DatabaseState = TableReader & {
	getKey(requestId: string): KeyRecord | undefined;
	apply(effect: LogEffect): void;
	/** Reverts the effect that was applied last. */
	revert(effect: LogEffect): void;
};

/** Creates the state of an empty log. */
export function createDatabaseState(): DatabaseState {
	const tables = new Map<string, Table>();
	const keys = new Map<string, KeyRecord>();
	let nextRowId = 1;

	const applyChange = (change: TableChange) => {
		if (change.kind === 'create') {
			tables.set(change.table, createTable(change.columns));
			return;
		}

		nextRowId = Math.max(nextRowId, change.rowId + 1);
		tables.get(change.table)!.set(change.rowId, change.after);
	};

	const revertChange = (change: TableChange) => {
		if (change.kind === 'create') {
			tables.delete(change.table);
			return;
		}

		tables.get(change.table)!.set(change.rowId, change.before);
	};

	return {
		getColumns: table => tables.get(table)?.columns,
		findRows: (table, conditions) => tables.get(table)?.findRows(conditions) ?? [],
		allocateRowId: () => nextRowId++,
		getKey: requestId => keys.get(requestId),
		apply(effect) {
			for (const change of effect.changes) {
				applyChange(change);
			}

			if (effect.key) {
				keys.set(effect.key.requestId, effect.key.record);
			}
		},
		revert(effect) {
			for (const change of effect.changes.toReversed()) {
				revertChange(change);
			}

			if (effect.key) {
				keys.delete(effect.key.requestId);
			}
		},
	};
}
