import {compareLogPositions, getLaterLogPosition, type LogPosition} from '../terms/log-position.js';
import type {PositionSample} from '../placement/position-samples.js';
import {PRIMARY_LEASE_MS} from './primary-leases.js';

/** What a host knows of the position of a commit. */
export type AcknowledgedCommit = {
	/** Position of the primary's log in the response; undefined where the response had none. The commit is at or below it. */
	readonly position: LogPosition | undefined;
	/** Position that the primary had reported before the commit was sent; undefined where it had reported none. The commit is above it. */
	readonly before: LogPosition | undefined;
};

/** The commits that this process has acknowledged to callers. */
export type AcknowledgedCommits = {
	/** Notes a commit that is acknowledged now. */
	note(group: string, commit: AcknowledgedCommit): void;
	/** Returns what this process can say about a group; undefined if it acknowledged a commit without a position. */
	report(group: string, sample: PositionSample | undefined): CommitReport | undefined;
};

/** What one host reports about the commits of a group after it has given up its primary lease. */
export type CommitReport = {
	/** Time since the host's process has noted what it acknowledges, in milliseconds. */
	readonly notedForMs: number;
	/** Latest position up to which commits that it acknowledged may be; absent if there was none. */
	readonly newest?: LogPosition;
	/** Latest position above which a commit that it acknowledged is; absent if it knows of none. */
	readonly exceeded?: LogPosition;
	/** Its newest sample of the primary's log, with the time since it was requested in milliseconds; absent if it has none. */
	readonly sample?: {readonly position: LogPosition; readonly ageMs: number};
};

/** A report with the elapsed times at which it was requested and received. */
export type ReceivedReport = {
	readonly askedAt: number;
	readonly receivedAt: number;
	readonly report: CommitReport;
};

/**
 * Time before the list of hosts was read by which the leases of hosts that are not on it had ended, in milliseconds: a record is deleted that much later than
 * its host's last lease can end.
 */
const UNLISTED_ENDED_MS = PRIMARY_LEASE_MS - 500;

/** Creates an empty account; `getElapsed` returns the elapsed time. */
export function createAcknowledgedCommits(getElapsed: () => number): AcknowledgedCommits {
	const startedAt = getElapsed();
	const newest = new Map<string, LogPosition>();
	const exceeded = new Map<string, LogPosition>();
	const unknown = new Set<string>();

	const raise = (positions: Map<string, LogPosition>, group: string, position: LogPosition) => {
		const known = positions.get(group);
		positions.set(group, known ? getLaterLogPosition(known, position) : position);
	};

	return {
		note(group, {position, before}) {
			if (before) {
				raise(exceeded, group, before);
			}

			if (position) {
				raise(newest, group, position);
			} else {
				unknown.add(group);
			}
		},
		report(group, sample) {
			const now = getElapsed();
			const [position, passed] = [newest.get(group), exceeded.get(group)];
			return unknown.has(group)
				? undefined
				: {
					notedForMs: now - startedAt,
					...(position && {newest: position}),
					...(passed && {exceeded: passed}),
					...(sample && {sample: {position: sample.position, ageMs: now - sample.askedAt}}),
				};
		},
	};
}

/**
 * Returns a position at or above all acknowledged commits of a group; undefined if the reports do not show one.
 *
 * What was acknowledged before a sample was requested is below the sample, whichever host acknowledged it. What was acknowledged later is reported by its
 * host, if that process had started by then. A host that is not listed any more had no lease by then, if the sample is recent enough.
 *
 * @param reports Reports of all listed hosts.
 * @param listedAt Elapsed time by which the list of hosts had been read.
 */
export function getAcknowledgedEnd(reports: readonly ReceivedReport[], listedAt: number): LogPosition | undefined {
	const since = Math.max(listedAt - UNLISTED_ENDED_MS, ...reports.map(({receivedAt, report}) => receivedAt - report.notedForMs));
	const [lowest] = reports
		.flatMap(({askedAt, report: {sample}}) => sample && askedAt - sample.ageMs >= since ? [sample.position] : [])
		.toSorted(compareLogPositions);
	return lowest && reports.flatMap(({report}) => report.newest ?? []).reduce((end, position) => getLaterLogPosition(end, position), lowest); // eslint-disable-line unicorn/no-array-reduce
}

/** Returns the latest position above which a commit was acknowledged, as far as the reports show; undefined if they show none. A log that ends below it lacks that commit. */
export function getExceededPosition(reports: readonly ReceivedReport[]): LogPosition | undefined {
	return reports.flatMap(({report}) => report.exceeded ?? []).toSorted(compareLogPositions).at(-1);
}
