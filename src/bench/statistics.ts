import type {Measure} from './experiment.js';

/** The value below which a share `part` (0 to 1) of the samples lies; NaN for none. */
export function getPercentile(samples: readonly number[], part: number): number {
	const sorted = samples.toSorted((left, right) => left - right);
	const place = Math.min(sorted.length - 1, Math.floor(part * sorted.length));
	return sorted[place] ?? Number.NaN;
}

/** Makes one measure of the same figure from several seeds. */
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
