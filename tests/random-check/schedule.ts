import fc from 'fast-check';

/** Number of servers in the group, and of proxies. */
export const SERVERS = 3;
export const PROXIES = 3;

/** Number of callers' sessions. */
export const SESSIONS = 2;

/** Maximum number of steps in one schedule. */
const MAX_STEPS = 40;

const server = fc.nat(SERVERS - 1);
const proxy = fc.nat(PROXIES - 1);
const session = fc.nat(SESSIONS - 1);
const key = fc.nat(5);
/** Time until the next step, in milliseconds. */
const ms: fc.Arbitrary<number> = fc.constantFrom(0, 1, 2, 5, 10, 40, 150, 400);

/** Generates which of `count` members are on the other side of a partition. */
const sides = (count: number) => fc.array(fc.boolean(), {minLength: count, maxLength: count});

const weighted = <T>(weight: number, arbitrary: fc.Arbitrary<T>) => ({weight, arbitrary});
const kind = <K extends string>(name: K) => fc.constant(name);

const longMs: fc.Arbitrary<number> = fc.constantFrom(20, 100, 500, 1500);

const deadlineMs = fc.constantFrom(100, 600, 2000);

/** Requests, promotions and partitions. */
const coreSteps = [
	weighted(8, fc.record({
		kind: kind('write'), session, proxy, count: fc.integer({min: 1, max: 4}), deadlineMs, ms,
	})),
	weighted(3, fc.record({
		kind: kind('repeat'), key, session, proxy, deadlineMs, ms,
	})),
	weighted(2, fc.record({
		kind: kind('resolve'), key, session, proxy, ms,
	})),
	weighted(7, fc.record({
		kind: kind('read'), session, proxy, how: fc.constantFrom('token', 'token', 'lost', 'latest'), ms,
	})),
	weighted(5, fc.record({
		kind: kind('raise'), proxy, tell: fc.boolean(), ms,
	})),
	weighted(4, fc.record({kind: kind('tend'), proxy, ms})),
	// Servers and proxies on two sides. The proxies reach both sides unless `cutsProxies` is set.
	weighted(7, fc.record({
		kind: kind('partition'), servers: sides(SERVERS), proxies: sides(PROXIES), cutsProxies: fc.boolean(), ms,
	})),
	weighted(2, fc.record({kind: kind('wait'), ms: longMs})),
] as const;

const faultSteps = [
	weighted(1, fc.record({kind: kind('kill'), server, ms})),
	weighted(1, fc.record({kind: kind('restart'), server, ms})),
	weighted(1, fc.record({kind: kind('freeze'), server, ms})),
	weighted(1, fc.record({kind: kind('thaw'), server, ms})),
	weighted(2, fc.record({
		kind: kind('delay-link'), server, proxy, delayMs: fc.constantFrom(0, 20, 300, 900), ms,
	})),
	weighted(2, fc.record({
		kind: kind('cut-link'), server, proxy, ms,
	})),
	weighted(2, fc.record({
		kind: kind('heal-link'), server, proxy, ms,
	})),
	weighted(1, fc.record({
		kind: kind('silence-link'), server, proxy, ms,
	})),
	weighted(2, fc.record({
		kind: kind('drop-answer'), server, proxy, what: fc.constantFrom('write', 'resolve', 'read', 'fence', 'promote', 'follow', 'wait-for', 'status'), ms,
	})),
	weighted(2, fc.record({
		kind: kind('lag'), server, lagMs: fc.constantFrom(1, 50, 1000), ms,
	})),
	weighted(2, fc.record({
		kind: kind('stall'), server, stalled: fc.boolean(), ms,
	})),
	weighted(1, fc.record({kind: kind('pause'), proxy, ms})),
	weighted(1, fc.record({kind: kind('resume'), proxy, ms})),
	weighted(1, fc.record({kind: kind('replace'), proxy, ms})),
] as const;

const coreStep = fc.oneof(...coreSteps);
const anyStep = fc.oneof(...coreSteps, ...faultSteps);

/** One step: a request, a promotion, a fault or a wait. */
export type Step = typeof anyStep extends fc.Arbitrary<infer T> ? T : never;

/** Generates schedules. */
export const scheduleArbitrary = fc.record({
	/** Maximum random delay of a packet, in milliseconds. 0 keeps all packets in order. */
	jitterMs: fc.constantFrom(0, 1, 10),
	seed: fc.nat(1_000_000),
	/** Index of the server that is cut off during the last promotion. An index past the last server stands for none. */
	absent: fc.nat(SERVERS),
	steps: fc.oneof(
		fc.array<Step>(coreStep, {minLength: 1, maxLength: MAX_STEPS, size: 'max'}),
		fc.array<Step>(anyStep, {minLength: 1, maxLength: MAX_STEPS, size: 'max'}),
	),
});

/** A schedule: its steps, and the seed and jitter of the run. */
export type Schedule = typeof scheduleArbitrary extends fc.Arbitrary<infer T> ? T : never;
