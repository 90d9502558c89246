import type {Measure} from './experiment.js';

/** Returns the value below which the given fraction (0 to 1) of the samples lies; NaN if there are none. */
export function getPercentile(samples: readonly number[], fraction: number): number {
	const sorted = samples.toSorted((left, right) => left - right);
	const index = Math.min(sorted.length - 1, Math.floor(fraction * sorted.length));
	return sorted[index] ?? Number.NaN;
}

/** Creates a measure from the values of one figure over several seeds. */
export function createMeasure(name: string, unit: string, values: readonly number[]): Measure {
	return {
		name,
		unit,
		value: round(getPercentile(values, 0.5)),
		spread: {least: round(Math.min(...values)), greatest: round(Math.max(...values))},
	};
}

function round(value: number): number {
	return Number(value.toPrecision(5));
}
