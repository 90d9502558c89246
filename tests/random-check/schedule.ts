import fc from 'fast-check';

/** Servers of the group and proxies before it. */
export const SERVERS = 3;
export const PROXIES = 3;

/** Callers' sessions. */
export const SESSIONS = 2;

const server = fc.nat(SERVERS - 1);
const proxy = fc.nat(PROXIES - 1);
const session = fc.nat(SESSIONS - 1);
const key = fc.nat(5);
/** How long nothing else happens after the step, in milliseconds. */
const ms = fc.constantFrom(0, 1, 2, 5, 10, 40, 150, 400);

const weighted = <T>(weight: number, arbitrary: fc.Arbitrary<T>) => ({weight, arbitrary});
const kind = <K extends string>(name: K) => fc.constant(name);

/** One step of a schedule. */
export const stepArbitrary = fc.oneof(
	weighted(8, fc.record({
		kind: kind('write'), session, proxy, deadlineMs: fc.constantFrom(100, 600, 2000), ms,
	})),
	weighted(3, fc.record({
		kind: kind('repeat'), key, session, proxy, deadlineMs: fc.constantFrom(100, 600, 2000), ms,
	})),
	weighted(2, fc.record({
		kind: kind('resolve'), key, session, proxy, ms,
	})),
	weighted(5, fc.record({
		kind: kind('read'), session, proxy, how: fc.constantFrom('token', 'lost', 'latest'), ms,
	})),
	weighted(5, fc.record({
		kind: kind('raise'), proxy, tell: fc.boolean(), ms,
	})),
	weighted(4, fc.record({kind: kind('tend'), proxy, ms})),
	weighted(1, fc.record({kind: kind('kill'), server, ms})),
	weighted(1, fc.record({kind: kind('restart'), server, ms})),
	weighted(1, fc.record({kind: kind('freeze'), server, ms})),
	weighted(1, fc.record({kind: kind('thaw'), server, ms})),
	weighted(2, fc.record({
		kind: kind('cut-servers'), server, ms,
	})),
	weighted(2, fc.record({
		kind: kind('cut-proxies'), server, proxies: fc.uniqueArray(proxy, {minLength: 1, maxLength: PROXIES}), ms,
	})),
	weighted(2, fc.record({kind: kind('heal'), server, ms})),
	weighted(2, fc.record({
		kind: kind('delay-link'), server, proxy, delayMs: fc.constantFrom(0, 20, 300, 900), ms,
	})),
	weighted(2, fc.record({
		kind: kind('cut-link'), server, proxy, ms,
	})),
	weighted(2, fc.record({kind: kind('heal-link'), server, proxy, ms})),
	weighted(1, fc.record({kind: kind('silence-link'), server, proxy, ms})),
	weighted(2, fc.record({
		kind: kind('drop-answer'), server, proxy, what: fc.constantFrom('write', 'resolve', 'read', 'fence', 'promote', 'follow', 'wait-for', 'status'), ms,
	})),
	weighted(1, fc.record({
		kind: kind('lag'), server, lagMs: fc.constantFrom(1, 50, 1000), ms,
	})),
	weighted(1, fc.record({kind: kind('stall'), server, stalled: fc.boolean(), ms})),
	weighted(1, fc.record({kind: kind('pause'), proxy, ms})),
	weighted(1, fc.record({kind: kind('resume'), proxy, ms})),
	weighted(1, fc.record({kind: kind('replace'), proxy, ms})),
	weighted(2, fc.record({kind: kind('wait'), ms: fc.constantFrom(20, 100, 500, 1500)})),
);

/** One step: a request, a promotion, a fault, or time. */
export type Step = typeof stepArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** A whole run. */
export const scheduleArbitrary = fc.record({
	/** Most time by which a packet is held up at random, in milliseconds; 0 keeps all in order. */
	jitterMs: fc.constantFrom(0, 1, 10),
	seed: fc.nat(1_000_000),
	/** The server that the last promotion does without; one past the last for none. */
	absent: fc.nat(SERVERS),
	steps: fc.array(stepArbitrary, {minLength: 1, maxLength: 40, size: 'max'}),
});

/** A whole run: its steps and what chance it is run with. */
export type Schedule = typeof scheduleArbitrary extends fc.Arbitrary<infer T> ? T : never;
