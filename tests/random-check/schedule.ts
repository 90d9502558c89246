import fc from 'fast-check';

/** Servers of the group and proxies before it. */
export const SERVERS = 3;
export const PROXIES = 3;

/** Callers' sessions. */
export const SESSIONS = 2;

/** Steps of one schedule, at most. */
const MOST_STEPS = 40;

const server = fc.nat(SERVERS - 1);
const proxy = fc.nat(PROXIES - 1);
const session = fc.nat(SESSIONS - 1);
const key = fc.nat(5);
/** How long nothing else happens after the step, in milliseconds. */
const ms: fc.Arbitrary<number> = fc.constantFrom(0, 1, 2, 5, 10, 40, 150, 400);

/** Which of `count` are on the other side. */
const sides = (count: number) => fc.array(fc.boolean(), {minLength: count, maxLength: count});

const weighted = <T>(weight: number, arbitrary: fc.Arbitrary<T>) => ({weight, arbitrary});
const kind = <K extends string>(name: K) => fc.constant(name);

const longMs: fc.Arbitrary<number> = fc.constantFrom(20, 100, 500, 1500);

const deadlineMs = fc.constantFrom(100, 600, 2000);

/** What callers ask for and what promoters do, and who reaches whom. */
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
	// Servers and proxies on two sides; the proxies may reach both.
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

/** One step: a request, a promotion, a fault, or time. */
export type Step = typeof anyStep extends fc.Arbitrary<infer T> ? T : never;

/** A whole run. */
export const scheduleArbitrary = fc.record({
	/** Most time by which a packet is held up at random, in milliseconds; 0 keeps all in order. */
	jitterMs: fc.constantFrom(0, 1, 10),
	seed: fc.nat(1_000_000),
	/** The server that the last promotion does without; one past the last for none. */
	absent: fc.nat(SERVERS),
	steps: fc.oneof(
		fc.array<Step>(coreStep, {minLength: 1, maxLength: MOST_STEPS, size: 'max'}),
		fc.array<Step>(anyStep, {minLength: 1, maxLength: MOST_STEPS, size: 'max'}),
	),
});

/** A whole run: its steps and what chance it is run with. */
export type Schedule = typeof scheduleArbitrary extends fc.Arbitrary<infer T> ? T : never;
