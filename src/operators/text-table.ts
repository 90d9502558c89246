/** Text of a cell without a value. */
export const NO_VALUE = '-';

/** Formats rows under a heading, in columns as wide as their longest cell; returns `(none)` where there are no rows. */
export function formatTable(heading: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	if (rows.length === 0) {
		return '(none)';
	}

	const lines = [heading, ...rows];
	const widths = heading.map((_, column) => Math.max(...lines.map(line => line[column]!.length)));
	return lines
		.map(line => line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd())
		.join('\n');
}

/** Returns a cell's text for a value that may be missing. */
export function formatCell(value: string | number | undefined): string {
	return value === undefined ? NO_VALUE : String(value);
}
