/** Options of a process that runs schedules, which it receives as JSON. */
export type PlayOptions = {
	readonly first: number;
	readonly count: number;
	/** Virtual time during which faults are injected in each schedule, in milliseconds. */
	readonly faultsMs: number;
	readonly callersPerProxy: number;
	readonly swarms: boolean;
	readonly largeFleet: boolean;
	readonly emptyRestarts: boolean;
	readonly restores: boolean;
	readonly stops: boolean;
	/** Whether the primary waits for one replica. */
	readonly waitsForReplica: boolean;
	/** Prints the proxies' log lines, each after its virtual time. */
	readonly log: boolean;
};

/** Totals of all schedules. */
export type PlayTotals = Record<'schedules' | 'broken' | 'notServed' | 'acknowledged' | 'reads' | 'refused' | 'unknown' | 'promotions', number>;

/** Prefix of the last line that a process prints. */
export const TOTALS_PREFIX = 'totals ';

/** Returns totals of zero schedules. */
export function createTotals(): PlayTotals {
	return {
		schedules: 0, broken: 0, notServed: 0, acknowledged: 0, reads: 0, refused: 0, unknown: 0, promotions: 0,
	};
}
