import type {Row} from '../../endpoints/endpoint.js';
import type {Condition} from './statement.js';
import {createTable, type StoredRow, type Table} from './table.js';

/** One change that a committed entry makes; it names the row before and after, so that it can be taken back. */
export type TableChange =
	| {readonly kind: 'create'; readonly table: string; readonly columns: readonly string[]}
	| {readonly kind: 'row'; readonly table: string; readonly rowId: number; readonly before?: Row; readonly after?: Row};

/** What stands under a request key. */
export type KeyRecord =
	| {readonly kind: 'answer'; readonly digest: string; readonly rows: readonly Row[]}
	| {readonly kind: 'tombstone'};

/** All that one log entry does; an empty effect marks the start of a term. */
export type LogEffect = {
	readonly key?: {readonly requestId: string; readonly record: KeyRecord};
	readonly changes: readonly TableChange[];
};

/** Tables as a statement sees them. */
export type TableReader = {
	/** Names of the table's columns, undefined where there is no such table. */
	getColumns(table: string): readonly string[] | undefined;
	/** The rows of a table of which every named column has the value. */
	findRows(table: string, conditions: readonly BoundCondition[]): readonly StoredRow[];
	/** A row id not used before. */
	allocateRowId(): number;
};

/** A condition with its value in place. */
export type BoundCondition = Pick<Condition, 'column'> & {readonly value: unknown};

/** Tables and request keys: what a server's log amounts to. */
export type DatabaseState = TableReader & {
	getKey(requestId: string): KeyRecord | undefined;
	apply(effect: LogEffect): void;
	/** Takes back the newest effect applied. */
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
