import {getPercentile} from '../statistics.js';
import type {RunResult} from './scenario.js';
import {SessionKind, type ReadResult, type Traffic} from './workload.js';

/** Figures of one run, by name; each name ends with the unit in parentheses. */
export type Figures = Readonly<Record<string, number>>;

/** Returns the figures of a run; `at` names its setting. */
export function getFigures({reads, failedSyncs}: RunResult, traffic: Traffic, at: string): Figures {
	const latencies = reads.filter(({done}) => done).map(({latencyMs}) => latencyMs);
	return {
		[`reads on replicas, ${at} (%)`]: getShare(reads),
		[`read p50, ${at} (ms)`]: getPercentile(latencies, 0.5),
		[`read p99, ${at} (ms)`]: getPercentile(latencies, 0.99),
		[`stale answers, ${at} (answers)`]: reads.filter(({stale}) => stale).length,
		[`reads refused, ${at} (%)`]: 100 * reads.filter(({done}) => !done).length / reads.length,
		[`syncs not acknowledged, ${at} (syncs)`]: failedSyncs,
		...getShares(reads, traffic, at),
	};
}

function getShares(reads: readonly ReadResult[], traffic: Traffic, at: string): Figures {
	const figures: Record<string, number> = {};
	for (const kind of Object.values(SessionKind)) {
		if (traffic.parts[kind] > 0) {
			figures[`reads on replicas, sessions: ${kind}, ${at} (%)`] = getShare(reads.filter(read => read.kind === kind));
		}
	}

	for (const ageMs of traffic.agesMs) {
		const ofAge = reads.filter(read => read.maxAgeMs === ageMs && read.kind !== SessionKind.Latest);
		figures[`reads on replicas, age ${ageMs} ms, ${at} (%)`] = getShare(ofAge);
	}

	return figures;
}

function getShare(reads: readonly ReadResult[]): number {
	const done = reads.filter(read => read.done);
	return 100 * done.filter(({byReplica}) => byReplica).length / done.length;
}
