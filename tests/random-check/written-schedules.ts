import type {Schedule, Step} from './schedule.js';

/** A schedule written by hand, that shows a missing guard. */
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

/** The first server is alone with the first proxy and takes four writes that nobody confirms. */
const alone: readonly Step[] = [partition([true, false, false], [true, false, false], true), write(0, 0, 4, 40)];

/** Interleavings of a divergent tail or a server left behind, which chance meets seldom or not in minutes. */
export const WRITTEN_SCHEDULES: readonly WrittenSchedule[] = [
	{
		// The tail of the first server is longer than the log of the next term, which a write was acknowledged in.
		guard: 'candidate-position',
		schedule: {
			jitterMs: 0, seed: 1, absent: 1, steps: [...alone, raise(1), write(1, 1, 1, 400)],
		},
	},
	{
		// The session wrote in the next term and reads at the proxy that still believes in the first server.
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
		// The first server is told to follow the next term, yet replicates nothing: its tail counts for a write of that term.
		// Its proxy dies with the four writes: otherwise it would settle each by a tombstone, and the next term's log would
		// have outgrown the tail by the time of its write.
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
		// The first server was not fenced and takes a write that the next term's log, later by its term, does not have.
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
