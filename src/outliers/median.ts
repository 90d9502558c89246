/** Returns the median of numbers; undefined where there are none. */
export function getMedian(values: readonly number[]): number | undefined {
	const sorted = values.toSorted((left, right) => left - right);
	const middle = Math.floor(sorted.length / 2);
	return sorted.length % 2 === 1 ? sorted[middle] : (sorted.length === 0 ? undefined : (sorted[middle - 1]! + sorted[middle]!) / 2);
}
