/** One observation: the value of each factor by its name, and the value measured with them. */
export type Observation<Name extends string> = {
	readonly factors: Readonly<Record<Name, number>>;
	readonly value: number;
};

/** Fits `value` as a sum of `slope * factor` without a constant term, and returns the slopes; throws if the factors are linearly dependent. */
export function fitSlopes<Name extends string>(names: readonly Name[], observations: ReadonlyArray<Observation<Name>>): Readonly<Record<Name, number>> {
	const rows = names.map(row => [
		...names.map(column => sum(observations, ({factors}) => factors[row] * factors[column])),
		sum(observations, ({factors, value}) => factors[row] * value),
	]);
	const slopes = solve(rows);
	return Object.fromEntries(names.map((name, index) => [name, slopes[index]!])) as Record<Name, number>;
}

const MIN_PIVOT = 1e-9;

/** Solves linear equations by Gaussian elimination with partial pivoting; the last number of each row is its right-hand side. */
function solve(rows: number[][]): number[] {
	for (let column = 0; column < rows.length; column++) {
		const pivotAt = findPivot(rows, column);
		[rows[column], rows[pivotAt]] = [rows[pivotAt]!, rows[column]!];
		const pivot = rows[column]!;
		if (Math.abs(pivot[column]!) < MIN_PIVOT) {
			throw new Error('the factors are linearly dependent in these observations');
		}

		for (const row of rows) {
			if (row !== pivot) {
				subtract(row, pivot, row[column]! / pivot[column]!);
			}
		}
	}

	return rows.map((row, index) => row.at(-1)! / row[index]!);
}

function findPivot(rows: readonly number[][], column: number): number {
	let best = column;
	for (let candidate = column + 1; candidate < rows.length; candidate++) {
		if (Math.abs(rows[candidate]![column]!) > Math.abs(rows[best]![column]!)) {
			best = candidate;
		}
	}

	return best;
}

function subtract(row: number[], other: readonly number[], factor: number) {
	for (const [index, value] of other.entries()) {
		row[index]! -= factor * value;
	}
}

function sum<Item>(items: readonly Item[], getValue: (item: Item) => number): number {
	return items.reduce((total, item) => total + getValue(item), 0);
}
