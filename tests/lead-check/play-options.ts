/** What a process that plays schedules is told, as JSON. */
export type PlayOptions = {
	readonly first: number;
	readonly count: number;
	/** Virtual time of trouble in each schedule, in milliseconds. */
	readonly troubleMs: number;
	readonly callersPerProxy: number;
	readonly swarms: boolean;
	readonly crowded: boolean;
	readonly rebirths: boolean;
	readonly returns: boolean;
	/** Prints the proxies' lines behind their virtual time. */
	readonly log: boolean;
};

/** What the schedules came to, together. */
export type PlayTotals = Record<'schedules' | 'broken' | 'notServed' | 'acknowledged' | 'reads' | 'refused' | 'unknown' | 'promotions', number>;

/** Line that a process ends with. */
export const TOTALS_PREFIX = 'totals ';

/** Nothing played yet. */
export function createTotals(): PlayTotals {
	return {
		schedules: 0, broken: 0, notServed: 0, acknowledged: 0, reads: 0, refused: 0, unknown: 0, promotions: 0,
	};
}
