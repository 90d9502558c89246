import type {Row} from '../../endpoints/endpoint.js';
import type {BoundCondition} from './database-state.js';

/** A row with its id. */
export type StoredRow = {readonly rowId: number; readonly row: Row};

/** The rows of one table. */
export type Table = {
	readonly columns: readonly string[];
	/** Sets a row, or removes it where `row` is undefined. */
	set(rowId: number, row: Row | undefined): void;
	findRows(conditions: readonly BoundCondition[]): readonly StoredRow[];
};

type ColumnIndex = Map<unknown, Set<number>>;

/** Creates an empty table; a column gets an index the first time that a condition begins with it. */
export function createTable(columns: readonly string[]): Table {
	const rows = new Map<number, Row>();
	const indexes = new Map<string, ColumnIndex>();

	const getIndex = (column: string) => {
		const known = indexes.get(column);
		if (known) {
			return known;
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

/** Tells whether every named column has the value; null equals nothing, as in SQL. */
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
