/** An experiment that `npm run bench` runs; each has a file of its own and is listed in `experiments.ts`. */
export type Experiment = {
	/** Name on the command line and of the files in `results/`. */
	readonly name: string;
	/** One sentence that says what is measured. */
	readonly description: string;
	run(options: ExperimentOptions): Promise<ExperimentResult>;
};

/** Options of a run of an experiment. */
export type ExperimentOptions = {
	/** The experiment runs once for each seed, and its result has the medians over these runs. */
	readonly seeds: readonly number[];
	/** Reports progress. */
	report(line: string): void;
};

/** One figure, aggregated over the seeds. */
export type Measure = {
	/** What was measured, with the setting, such as `goodput at 2x`. */
	readonly name: string;
	readonly unit: string;
	/** Median over the seeds; Infinity and NaN, which stand for a value that was not observed, are written as null. */
	readonly value: number;
	/** Range over the seeds. */
	readonly spread: Spread;
};

/** Least and greatest value of several runs. */
export type Spread = {
	readonly least: number;
	readonly greatest: number;
};

/** The figures of one variant: the product's, or a baseline. */
export type Variant = {
	readonly name: string;
	readonly measures: readonly Measure[];
};

/** One line of a plot. */
export type PlotSeries = {
	readonly name: string;
	readonly points: ReadonlyArray<{readonly x: number; readonly y: number}>;
};

/** A plot with several lines. */
export type Plot = {
	readonly title: string;
	readonly xLabel: string;
	readonly yLabel: string;
	readonly series: readonly PlotSeries[];
};

/** Result of an experiment, as it is written to its file. */
export type ExperimentResult = {
	readonly name: string;
	readonly description: string;
	readonly seeds: readonly number[];
	/** Settings on which the figures depend. */
	readonly setting: Readonly<Record<string, string | number | boolean>>;
	/** Figures of the product. */
	readonly measures: readonly Measure[];
	/** Other variants, measured in the same run. */
	readonly baselines: readonly Variant[];
	readonly plots: readonly Plot[];
};
