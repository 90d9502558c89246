/** An experiment of `npm run bench`: one file each, listed in `experiments.ts`. */
export type Experiment = {
	/** As named on the command line and in `results/`. */
	readonly name: string;
	/** One sentence. */
	readonly description: string;
	run(options: ExperimentOptions): Promise<ExperimentResult>;
};

/** What an experiment is told. */
export type ExperimentOptions = {
	/** One run for each; figures are given as the median over them. */
	readonly seeds: readonly number[];
	/** Says how far it is. */
	report(line: string): void;
};

/** One figure. */
export type Measure = {
	/** What was measured, with its setting, as in `goodput at 2x`. */
	readonly name: string;
	readonly unit: string;
	/** Median over the seeds; Infinity and NaN, for what was not seen, are written as null. */
	readonly value: number;
	/** Least and greatest over the seeds. */
	readonly spread: Spread;
};

/** Least and greatest of several runs. */
export type Spread = {
	readonly least: number;
	readonly greatest: number;
};

/** The figures of one way of doing it. */
export type Variant = {
	readonly name: string;
	readonly measures: readonly Measure[];
};

/** A line of a plot. */
export type PlotSeries = {
	readonly name: string;
	readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
};

/** A plot of several lines. */
export type Plot = {
	readonly title: string;
	readonly xLabel: string;
	readonly yLabel: string;
	readonly series: readonly PlotSeries[];
};

/** What an experiment found. */
export type ExperimentResult = {
	readonly name: string;
	readonly description: string;
	readonly seeds: readonly number[];
	/** The settings that the figures depend on. */
	readonly setting: Readonly<Record<string, string | number | boolean>>;
	/** The product's own figures. */
	readonly measures: readonly Measure[];
	/** Other ways, measured in the same run. */
	readonly baselines: readonly Variant[];
	readonly plots: readonly Plot[];
};
