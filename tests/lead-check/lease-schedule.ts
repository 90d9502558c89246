import fc from 'fast-check';

/** Number of hosts that compete for the lease. */
export const HOSTS = 3;

/** Maximum number of steps in one schedule. */
const MAX_STEPS = 30;

/** A step at one host, and the time until the next step, in milliseconds. */
export type LeaseStep = {readonly host: number; readonly ms: number} & (
	| {readonly kind: 'take' | 'release' | 'close' | 'suspend' | 'resume' | 'restart'}
	/** An order that the platform carries out after `transitMs` milliseconds; its response may be lost. */
	| {readonly kind: 'order'; readonly transitMs: number; readonly isAnswered: boolean}
	| {readonly kind: 'store'; readonly fault: StoreFault}
);

/** Faults of the store's calls for one host. */
export const StoreFault = {
	None: 'none',
	Silent: 'silent',
	Slow: 'slow',
	/** Some changes are executed without a response, at once or seconds later. */
	Late: 'late',
} as const;

/** One of the faults in {@link StoreFault}. */
export type StoreFault = typeof StoreFault[keyof typeof StoreFault];

const host = fc.nat(HOSTS - 1);

const shortMs = fc.constantFrom(0, 1, 2, 3, 4, 5, 8, 20, 100);

/** Time until the next step: within the transit of an order, around the interval of confirmations, or around the end of a lease. */
const anyMs = fc.oneof(shortMs, fc.constantFrom(100, 400, 700, 1500), fc.constantFrom(2900, 3100, 3300));

/** Maximum time for which an order is in transit, in milliseconds; its sender gives it up after 600. */
const MAX_TRANSIT_MS = 590;

const createStep = (ms: fc.Arbitrary<number>): fc.Arbitrary<LeaseStep> => fc.oneof(
	{weight: 6, arbitrary: fc.record({kind: fc.constant('take' as const), host, ms})},
	{weight: 6, arbitrary: fc.record({kind: fc.constant('release' as const), host, ms})},
	{
		weight: 6, arbitrary: fc.record({
			kind: fc.constant('order' as const), host, ms, transitMs: fc.oneof(fc.nat(20), fc.nat(MAX_TRANSIT_MS)), isAnswered: fc.boolean(),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constantFrom('close' as const, 'suspend' as const, 'restart' as const), host, ms})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('resume' as const), host, ms})},
	{
		weight: 3, arbitrary: fc.record({
			kind: fc.constant('store' as const), host, ms, fault: fc.constantFrom(...Object.values(StoreFault)),
		}),
	},
);

/** A schedule of steps; `seed` determines what the store does with calls under its faults. */
export type LeaseSchedule = {readonly seed: number; readonly steps: readonly LeaseStep[]};

const createSchedules = (ms: fc.Arbitrary<number>): fc.Arbitrary<LeaseSchedule> => fc.record({
	seed: fc.nat(), steps: fc.array(createStep(ms), {minLength: 4, maxLength: MAX_STEPS, size: 'max'}),
});

/** Random schedules; in half of them every step follows the one before within milliseconds. */
export const leaseSchedules: fc.Arbitrary<LeaseSchedule> = fc.oneof(createSchedules(shortMs), createSchedules(anyMs));
