import type {Row} from '../../endpoints/endpoint.js';
import {throwStatementError} from './database-errors.js';
import type {BoundCondition, TableChange, TableReader} from './database-state.js';
import {
	StatementKind, type Assignment, type ColumnList, type Condition, type Operand, type Statement,
} from './statement.js';
import type {StoredRow} from './table.js';

/** The rows that a statement returns, and the changes that it would make. */
export type StatementOutcome = {
	readonly rows: readonly Row[];
	readonly changes: readonly TableChange[];
};

type StatementOf<K extends StatementKind> = Extract<Statement, {kind: K}>;

/** Runs a statement against the tables without changing them; throws DatabaseError if it fails. */
export function executeStatement(statement: Statement, values: readonly unknown[], tables: TableReader): StatementOutcome {
	switch (statement.kind) {
		case StatementKind.Create: {
			return executeCreate(statement, tables);
		}

		case StatementKind.Insert: {
			return executeInsert(statement, values, tables);
		}

		case StatementKind.Select: {
			return executeSelect(statement, values, tables);
		}

		case StatementKind.Update: {
			return executeUpdate(statement, values, tables);
		}

		case StatementKind.Delete: {
			return executeDelete(statement, values, tables);
		}
	}
}

function executeCreate({table, columns}: StatementOf<typeof StatementKind.Create>, tables: TableReader): StatementOutcome {
	const exists = tables.getColumns(table) !== undefined;
	return {rows: [], changes: exists ? [] : [{kind: 'create', table, columns}]};
}

function executeInsert(statement: StatementOf<typeof StatementKind.Insert>, values: readonly unknown[], tables: TableReader): StatementOutcome {
	const {table} = statement;
	const existingColumns = tables.getColumns(table);
	const columns = existingColumns ?? statement.columns;
	checkColumns(table, columns, statement.columns);

	const valuesByColumn = new Map(statement.columns.map((column, i) => [column, getValue(statement.operands[i]!, values)]));
	const row = Object.fromEntries(columns.map(column => [column, valuesByColumn.get(column) ?? null]));
	const inserted: TableChange = {
		kind: 'row', table, rowId: tables.allocateRowId(), after: row,
	};
	const changes: TableChange[] = existingColumns ? [inserted] : [{kind: 'create', table, columns}, inserted];
	return {rows: project([row], columns, statement.returning), changes};
}

function executeSelect(statement: StatementOf<typeof StatementKind.Select>, values: readonly unknown[], tables: TableReader): StatementOutcome {
	const {table, orderBy} = statement;
	const columns = getColumnsOrThrow(table, tables);
	const rows = findRows(statement, values, tables).map(({row}) => row);
	if (statement.columns === 'count') {
		return {rows: [{count: rows.length}], changes: []};
	}

	if (orderBy !== undefined) {
		checkColumns(table, columns, [orderBy]);
		rows.sort((left, right) => compareValues(left[orderBy], right[orderBy]));
	}

	if (statement.columns !== '*') {
		checkColumns(table, columns, statement.columns);
	}

	return {rows: project(rows, columns, statement.columns), changes: []};
}

function executeUpdate(statement: StatementOf<typeof StatementKind.Update>, values: readonly unknown[], tables: TableReader): StatementOutcome {
	const {table, assignments} = statement;
	const columns = getColumnsOrThrow(table, tables);
	checkColumns(table, columns, assignments.map(({column}) => column));

	const changes: TableChange[] = [];
	const rows: Row[] = [];
	for (const {rowId, row} of findRows(statement, values, tables)) {
		const after = {...row};
		for (const assignment of assignments) {
			after[assignment.column] = getAssignedValue(assignment, row, values);
		}

		changes.push({
			kind: 'row', table, rowId, before: row, after,
		});
		rows.push(after);
	}

	return {rows: project(rows, columns, statement.returning), changes};
}

function executeDelete(statement: StatementOf<typeof StatementKind.Delete>, values: readonly unknown[], tables: TableReader): StatementOutcome {
	const {table} = statement;
	const columns = getColumnsOrThrow(table, tables);
	const found = findRows(statement, values, tables);
	const changes = found.map(({rowId, row}): TableChange => ({
		kind: 'row', table, rowId, before: row,
	}));
	return {rows: project(found.map(({row}) => row), columns, statement.returning), changes};
}

type FilteredStatement = {readonly table: string; readonly where: readonly Condition[]};

function findRows({table, where}: FilteredStatement, values: readonly unknown[], tables: TableReader): readonly StoredRow[] {
	checkColumns(table, getColumnsOrThrow(table, tables), where.map(({column}) => column));
	const conditions = where.map(({column, operand}): BoundCondition => ({column, value: getValue(operand, values)}));
	return tables.findRows(table, conditions);
}

function getValue(operand: Operand, values: readonly unknown[]): unknown {
	if ('literal' in operand) {
		return operand.literal;
	}

	if (operand.parameter >= values.length) {
		throwStatementError(`there is no parameter $${operand.parameter + 1}`);
	}

	return values[operand.parameter];
}

function getAssignedValue({column, operand, isIncrement}: Assignment, row: Row, values: readonly unknown[]): unknown {
	const value = getValue(operand, values);
	return isIncrement ? Number(row[column]) + Number(value) : value;
}

function getColumnsOrThrow(table: string, tables: TableReader): readonly string[] {
	return tables.getColumns(table) ?? throwStatementError(`relation "${table}" does not exist`);
}

function checkColumns(table: string, existing: readonly string[], used: readonly string[]) {
	const unknown = used.find(column => !existing.includes(column));
	if (unknown !== undefined) {
		throwStatementError(`column "${unknown}" of relation "${table}" does not exist`);
	}
}

function project(rows: readonly Row[], allColumns: readonly string[], columns: ColumnList | undefined): readonly Row[] {
	if (columns === undefined) {
		return [];
	}

	const names = columns === '*' ? allColumns : columns;
	return rows.map(row => Object.fromEntries(names.map(column => [column, row[column]])));
}

function compareValues(left: unknown, right: unknown): number {
	if (left === right) {
		return 0;
	}

	return (left as string) < (right as string) ? -1 : 1;
}
