import type {Row} from '../../endpoints/endpoint.js';
import type {BoundCondition} from './database-state.js';

/** A row and its id. */
export type StoredRow = {readonly rowId: number; readonly row: Row};

/** The rows of one table. */
export type Table = {
	readonly columns: readonly string[];
	/** Sets a row, or removes it where `row` is undefined. */
	set(rowId: number, row: Row | undefined): void;
	/** Returns the rows that meet all conditions. */
	findRows(conditions: readonly BoundCondition[]): readonly StoredRow[];
};

type ColumnIndex = Map<unknown, Set<number>>;

/** Creates an empty table; a column is indexed the first time that it is in the first condition of a query. */
export function createTable(columns: readonly string[]): Table {
	const rows = new Map<number, Row>();
	const indexes = new Map<string, ColumnIndex>();

	const getIndex = (column: string) => {
		const existing = indexes.get(column);
		if (existing) {
			return existing;
		}

		const index: ColumnIndex = new Map();
		for (const [rowId, row] of rows) {
			addToIndex(index, row[column], rowId);
		}

		indexes.set(column, index);
		return index;
	};

	const getCandidates = (condition: BoundCondition | undefined): Iterable<number> =>
		condition ? getIndex(condition.column).get(condition.value) ?? [] : rows.keys();

	return {
		columns,
		set(rowId, row) {
			const before = rows.get(rowId);
			for (const [column, index] of indexes) {
				if (before) {
					index.get(before[column])?.delete(rowId);
				}

				if (row) {
					addToIndex(index, row[column], rowId);
				}
			}

			if (row) {
				rows.set(rowId, row);
			} else {
				rows.delete(rowId);
			}
		},
		findRows(conditions) {
			const found: StoredRow[] = [];
			for (const rowId of getCandidates(conditions[0])) {
				const row = rows.get(rowId)!;
				if (matchesAll(row, conditions)) {
					found.push({rowId, row});
				}
			}

			return found;
		},
	};
}

/** Returns whether the row meets all conditions; null equals nothing, as in SQL. */
export function matchesAll(row: Row, conditions: readonly BoundCondition[]): boolean {
	return conditions.every(({column, value}) => value !== null && row[column] === value);
}

function addToIndex(index: ColumnIndex, value: unknown, rowId: number) {
	const rowIds = index.get(value);
	if (rowIds) {
		rowIds.add(rowId);
	} else {
		index.set(value, new Set([rowId]));
	}
}
