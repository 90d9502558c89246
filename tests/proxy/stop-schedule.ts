import fc from 'fast-check';
import {ROUTES} from './proxy-bench.js';

/** Time from the order to stop until a process is killed, in milliseconds. */
export const GRACE_MS = 6000;

/** An order to a host to stop; its time is in milliseconds from the start of the schedule. */
export type StopOrder = {readonly host: number; readonly atMs: number};

/** A step of a caller, repeated until the caller is notified that its session ends. */
export type CallerStep =
	| {readonly kind: 'read' | 'write' | 'remember'; readonly restMs: number}
	/** A transaction; its statements are writes and reads in turn. */
	| {readonly kind: 'transaction'; readonly restMs: number; readonly statements: number; readonly innerRestMs: number};

/** The plan of one caller. */
export type CallerPlan = {
	readonly host: number;
	readonly database: string;
	/** Time for which its requests are in transit or unread, in milliseconds. */
	readonly requestMs: number;
	/** When it connects, in milliseconds from the start of the schedule. */
	readonly opensAtMs: number;
	/** Time from its greeting to its first step, in milliseconds. */
	readonly firstRestMs: number;
	readonly steps: readonly CallerStep[];
};

/** A delay of a server's answers from some moment on, in milliseconds. */
export type Slowness = {readonly server: number; readonly atMs: number; readonly slowMs: number};

/** Hosts that are ordered to stop, and what happens meanwhile. */
export type StopSchedule = {
	readonly size: {readonly proxies: number; readonly maxConnections: number};
	readonly stops: readonly StopOrder[];
	readonly callers: readonly CallerPlan[];
	readonly slowness: readonly Slowness[];
	/** When the primary is replaced in order, in milliseconds from the start of the schedule; undefined where it is not. */
	readonly replaceAtMs?: number;
	readonly promoteMs: number;
	/** Time for which a process goes on to write its last log lines, in milliseconds. */
	readonly lastLinesMs: number;
};

/** Counts of what hosts were doing when they were ordered to stop, and of callers' answers; shows which states the schedules reach. */
export type StopTally = Record<string, number>;

/** Earliest and latest order to stop, in milliseconds from the start of a schedule; callers are already active before the earliest. */
const FIRST_ORDER_MS = 800;
export const LAST_ORDER_MS = 3000;

/** Time after which callers start nothing, in milliseconds from the start of a schedule; every stopped host has ended by then. */
export const PLAY_MS = LAST_ORDER_MS + GRACE_MS + 1000;

/** Maximum time for which abandoned statements still run at endpoints, in milliseconds. */
export const AFTERMATH_MS = 4000;

/** Number of servers in the bench's group. */
const SERVERS = 3;

/** Maximum time for which a request is unread, in milliseconds. */
export const MAX_UNREAD_MS = 1600;

/** Minimum time between two steps of a caller, in milliseconds; closer steps reach no further states. */
export const MIN_REST_MS = 40;

const someRestMs = fc.oneof(fc.constantFrom(0, 5, 50), fc.integer({min: 0, max: 3500}));

/** Pauses of callers that keep their hosts busy, so that most of them wait for a connection. */
const shortRestMs = fc.integer({min: 0, max: 400});

const createSteps = (restMs: fc.Arbitrary<number>): fc.Arbitrary<CallerStep> => fc.oneof(
	fc.record({kind: fc.constantFrom('read' as const, 'write' as const, 'write' as const, 'remember' as const), restMs}),
	fc.record({
		kind: fc.constant('transaction' as const), restMs, statements: fc.nat(3), innerRestMs: restMs,
	}),
);

const requestMs = fc.oneof(fc.constantFrom(0, 1), fc.integer({min: 0, max: MAX_UNREAD_MS}));

/** Numbers of hosts and connections; with the last three, pool hosts keep all connections and share them with the other hosts. */
const size = fc.constantFrom(
	{proxies: 2, maxConnections: 22},
	{proxies: 3, maxConnections: 5},
	{proxies: 4, maxConnections: 5},
	{proxies: 6, maxConnections: 8},
);

const createCallers = (host: fc.Arbitrary<number>, restMs: fc.Arbitrary<number>, length: fc.ArrayConstraints) => fc.array(fc.record({
	host,
	database: fc.constantFrom(...ROUTES.map(route => route.database)),
	requestMs,
	opensAtMs: fc.oneof(fc.integer({min: 0, max: FIRST_ORDER_MS}), fc.integer({min: 0, max: LAST_ORDER_MS}), fc.integer({min: 0, max: PLAY_MS})),
	firstRestMs: restMs,
	steps: fc.array(createSteps(restMs), {minLength: 1, maxLength: 4}),
}), {...length, size: 'max'});

/** Random schedules. */
export const stopSchedules: fc.Arbitrary<StopSchedule> = size.chain(chosen => {
	const host = fc.nat(chosen.proxies - 1);
	return fc.record({
		size: fc.constant(chosen),
		stops: fc.uniqueArray(
			fc.record({host, atMs: fc.oneof(fc.constantFrom(1000, 1500), fc.integer({min: FIRST_ORDER_MS, max: LAST_ORDER_MS}))}),
			{minLength: 1, maxLength: chosen.proxies, selector: order => order.host},
		),
		callers: fc.oneof(
			createCallers(host, someRestMs, {minLength: 1, maxLength: 8}),
			createCallers(host, someRestMs, {minLength: 8, maxLength: 20}),
			createCallers(host, shortRestMs, {minLength: 16, maxLength: 32}),
		),
		slowness: fc.array(fc.record({
			server: fc.oneof(fc.constant(0), fc.nat(SERVERS - 1)),
			atMs: fc.oneof(fc.nat(LAST_ORDER_MS), fc.nat(LAST_ORDER_MS + GRACE_MS)),
			slowMs: fc.oneof(fc.constantFrom(0, 300, 900), fc.integer({min: 0, max: 3000})),
		}), {maxLength: 8}),
		replaceAtMs: fc.option(fc.integer({min: 0, max: LAST_ORDER_MS}), {nil: undefined, freq: 2}),
		promoteMs: fc.constantFrom(300, 1000, 2500, 4000),
		lastLinesMs: fc.constantFrom(0, 300),
	});
});
