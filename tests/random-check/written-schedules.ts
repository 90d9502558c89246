import type {Schedule, Step} from './schedule.js';

/** A schedule written by hand that detects a missing guard. */
export type WrittenSchedule = {
	readonly guard: string;
	readonly schedule: Schedule;
};

const partition = (servers: boolean[], proxies: boolean[], cutsProxies: boolean): Step => ({
	kind: 'partition', servers, proxies, cutsProxies, ms: 0,
});

const write = (proxy: number, session: number, count: number, ms: number): Step => ({
	kind: 'write', session, proxy, count, deadlineMs: 600, ms,
});

const raise = (proxy: number): Step => ({
	kind: 'raise', proxy, tell: false, ms: 400,
});

const NO_PROXY = [false, false, false];

/** Isolates the first server with the first proxy, which send it four writes that no other server confirms. */
const alone: readonly Step[] = [partition([true, false, false], [true, false, false], true), write(0, 0, 4, 40)];

/** Interleavings with a divergent log or an outdated server, which random schedules produce rarely or not within minutes. */
export const WRITTEN_SCHEDULES: readonly WrittenSchedule[] = [
	{
		// The unconfirmed end of the first server's log makes it longer than the log of the next term, in which a write was acknowledged.
		guard: 'candidate-position',
		schedule: {
			jitterMs: 0, seed: 1, absent: 1, steps: [...alone, raise(1), write(1, 1, 1, 400)],
		},
	},
	{
		// The session wrote in the next term and reads through the proxy that still takes the first server for the primary.
		guard: 'read-position',
		schedule: {
			jitterMs: 0,
			seed: 1,
			absent: 3,
			steps: [...alone, raise(1), write(1, 1, 1, 400), {
				kind: 'read', session: 1, proxy: 0, how: 'token', ms: 400,
			}],
		},
	},
	{
		// The first server is ordered to follow the next term but replicates nothing, so the end of its old log counts for a
		// write of that term. Its proxy dies with the four writes. Otherwise it would resolve each by a tombstone, and the next
		// term's log would be longer than the old one by the time of its write.
		guard: 'confirm-log-term',
		schedule: {
			jitterMs: 0,
			seed: 3,
			absent: 1,
			steps: [
				...alone,
				{kind: 'replace', proxy: 0, ms: 0},
				raise(1),
				partition([true, false, false], NO_PROXY, false),
				{kind: 'tend', proxy: 1, ms: 400},
				partition([false, true, false], NO_PROXY, false),
				write(1, 1, 1, 400),
			],
		},
	},
	{
		// The first server was not fenced and accepts a write that the next term's log does not have, though that log counts as later by its term.
		guard: 'confirm-later-log',
		schedule: {
			jitterMs: 0,
			seed: 1,
			absent: 3,
			steps: [
				{
					kind: 'cut-link', server: 0, proxy: 1, ms: 0,
				},
				partition([true, false, false], NO_PROXY, false),
				raise(1),
				write(0, 0, 1, 400),
			],
		},
	},
];
