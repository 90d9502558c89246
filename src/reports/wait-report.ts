import {build as buildHistogram, type Histogram} from 'hdr-histogram-js';
import type {LogEvent} from './log-event.js';

/** Times for which statements that were refused or answered late waited for connections. */
export type WaitSummary = {
	/** Name of the route's database, of the workspace or of the endpoint. */
	readonly name: string;
	/** Number of statements that waited. */
	readonly count: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** What one endpoint caused. */
export type EndpointCause = {
	readonly endpoint: string;
	/** Number of statements that were refused because of it. */
	readonly refused: number;
	/** Number of statements that were answered late because of it. */
	readonly late: number;
	/** Total time for which these statements waited for connections, in milliseconds. */
	readonly waitedMs: number;
	/** Its refusals by the reason of its queue, else by the answer code. */
	readonly reasons: Readonly<Record<string, number>>;
	/** Refused and late statements by workspace, and by database. */
	readonly workspaces: Readonly<Record<string, number>>;
	readonly databases: Readonly<Record<string, number>>;
	/** Greatest predicted wait in milliseconds, number of waiting requests and smallest limit that its refusals were logged with. */
	readonly predictedWaitMs?: number;
	readonly queued?: number;
	readonly limit?: number;
};

/** Who waited for connections, and because of which endpoints. */
export type WaitReport = {
	/** By database, which stands for the route; in descending order of the number of statements, as all lists. */
	readonly databases: readonly WaitSummary[];
	readonly workspaces: readonly WaitSummary[];
	readonly endpoints: readonly WaitSummary[];
	readonly causes: readonly EndpointCause[];
	/** Number of statements that were left out of a list because it was full. */
	readonly leftOut: number;
};

/** Builds a wait report line by line, in bounded memory. */
export type WaitReporter = {
	/** Adds the line of a statement that was refused or answered late; other lines are ignored. */
	add(event: LogEvent): void;
	getReport(): WaitReport;
};

/** Maximum number of names in a list. A histogram takes up to 10 KB. */
const MAX_NAMES = 1000;

/** Maximum number of names that are counted separately under one endpoint; the others are counted under {@link OTHERS}. */
const MAX_NAMES_BY_CAUSE = 100;

const OTHERS = '(others)';

/** Longest time that is told apart from longer ones, in milliseconds: no statement takes longer. */
const MAX_MS = 600_000;

type Cause = {
	refused: number;
	late: number;
	waitedMs: number;
	readonly reasons: Map<string, number>;
	readonly workspaces: Map<string, number>;
	readonly databases: Map<string, number>;
	predictedWaitMs?: number;
	queued?: number;
	limit?: number;
};

/** Creates a reporter without lines. */
export function createWaitReporter(): WaitReporter {
	const histograms = {database: new Map<string, Histogram>(), workspace: new Map<string, Histogram>(), endpoint: new Map<string, Histogram>()};
	const causes = new Map<string, Cause>();
	let leftOut = 0;

	const getOrAdd = <T>(list: Map<string, T>, name: string, create: () => T) => {
		const known = list.get(name);
		if (known !== undefined) {
			return known;
		}

		if (list.size >= MAX_NAMES) {
			leftOut++;
			return undefined;
		}

		const created = create();
		list.set(name, created);
		return created;
	};

	const addWait = (list: Map<string, Histogram>, name: unknown, ms: number) => {
		if (typeof name === 'string') {
			getOrAdd(list, name, createHistogram)?.recordValue(Math.min(MAX_MS, Math.round(ms)));
		}
	};

	const addCause = (endpoint: string, isRefused: boolean, waitedMs: number, fields: LogEvent['fields']) => {
		const cause = getOrAdd(causes, endpoint, createCause);
		if (!cause) {
			return;
		}

		cause.waitedMs += waitedMs;
		if (isRefused) {
			cause.refused++;
			countIn(cause.reasons, typeof fields.queueReason === 'string' ? fields.queueReason : String(fields.code));
		} else {
			cause.late++;
		}

		for (const [list, name] of [[cause.workspaces, fields.workspace], [cause.databases, fields.database]] as const) {
			if (typeof name === 'string') {
				countIn(list, name);
			}
		}

		if (fields.refusedBy === endpoint) {
			cause.predictedWaitMs = max(cause.predictedWaitMs, fields.predictedWaitMs);
			cause.queued = max(cause.queued, fields.queued);
			cause.limit = typeof fields.limit === 'number' ? Math.min(fields.limit, cause.limit ?? fields.limit) : cause.limit;
		}
	};

	return {
		add({sentence, fields}) {
			const isRefused = sentence === 'a statement was refused';
			if ((!isRefused && sentence !== 'a statement was answered late') || typeof fields.linkWaitMs !== 'number') {
				return;
			}

			const unserved = getNumbers(fields.unservedMs);
			let waitedMs = fields.linkWaitMs;
			for (const [endpoint, ms] of unserved) {
				waitedMs += ms;
				addWait(histograms.endpoint, endpoint, ms);
			}

			const lastUsed = getLastName(fields.endpoints);
			if (fields.linkWaitMs > 0) {
				addWait(histograms.endpoint, lastUsed, fields.linkWaitMs);
			}

			if (waitedMs > 0) {
				addWait(histograms.database, fields.database, waitedMs);
				addWait(histograms.workspace, fields.workspace, waitedMs);
			}

			const endpoint = getCause(fields, unserved, isRefused, lastUsed);
			if (endpoint !== undefined) {
				addCause(endpoint, isRefused, waitedMs, fields);
			}
		},
		getReport: () => ({
			databases: summarize(histograms.database),
			workspaces: summarize(histograms.workspace),
			endpoints: summarize(histograms.endpoint),
			causes: [...causes].map(([endpoint, cause]) => ({
				...cause, endpoint, reasons: toCounts(cause.reasons), workspaces: toCounts(cause.workspaces), databases: toCounts(cause.databases),
			})).toSorted((left, right) => right.refused + right.late - left.refused - left.late),
			leftOut,
		}),
	};
}

/**
 * Returns the endpoint that a refusal or a late answer is attributed to: the one whose queue refused it, else the one at which it waited longest without a connection, else the
 * one to which it was sent last. A late answer is attributed to the endpoint that gave no connection only where that took longer than the wait for the one it got.
 */
function getCause(fields: LogEvent['fields'], unserved: ReadonlyArray<readonly [string, number]>, isRefused: boolean, lastUsed: string | undefined): string | undefined {
	if (isRefused && typeof fields.refusedBy === 'string') {
		return fields.refusedBy;
	}

	const [longest] = unserved.toSorted((left, right) => right[1] - left[1]);
	const isLonger = longest !== undefined && (isRefused || lastUsed === undefined || longest[1] > Number(fields.linkWaitMs));
	return isLonger ? longest[0] : lastUsed;
}

function createHistogram(): Histogram {
	return buildHistogram({
		bitBucketSize: 32, autoResize: true, lowestDiscernibleValue: 1, highestTrackableValue: 2048, numberOfSignificantValueDigits: 2, useWebAssembly: false,
	});
}

function createCause(): Cause {
	return {
		refused: 0, late: 0, waitedMs: 0, reasons: new Map(), workspaces: new Map(), databases: new Map(),
	};
}

function countIn(list: Map<string, number>, name: string) {
	const counted = list.has(name) || list.size < MAX_NAMES_BY_CAUSE ? name : OTHERS;
	list.set(counted, (list.get(counted) ?? 0) + 1);
}

function max(known: number | undefined, value: unknown) {
	return typeof value === 'number' ? Math.max(value, known ?? value) : known;
}

function getNumbers(value: unknown): ReadonlyArray<readonly [string, number]> {
	return value !== null && typeof value === 'object' ? Object.entries(value).filter((entry): entry is [string, number] => typeof entry[1] === 'number' && entry[1] >= 0) : [];
}

function getLastName(value: unknown): string | undefined {
	const last: unknown = Array.isArray(value) ? value.at(-1) : undefined;
	return typeof last === 'string' ? last : undefined;
}

function toCounts(counts: ReadonlyMap<string, number>) {
	return Object.fromEntries([...counts].toSorted((left, right) => right[1] - left[1]));
}

function summarize(histograms: ReadonlyMap<string, Histogram>): readonly WaitSummary[] {
	return [...histograms].map(([name, histogram]) => ({
		name, count: histogram.totalCount, p50Ms: histogram.getValueAtPercentile(50), p99Ms: histogram.getValueAtPercentile(99),
	})).toSorted((left, right) => right.count - left.count);
}
