import {ReadPolicy} from '../../routes/routing.js';

/** One kind of request of a site. */
export type RequestShape = {
	readonly name: string;
	readonly policy: ReadPolicy;
	readonly maxReadAgeMs: number;
	/** Shares of single writes and of transactions; the remaining requests are single reads. */
	readonly writeShare: number;
	readonly transactionShare: number;
	/** Fresh requests a second at rate 1, over all groups. */
	readonly perSecond: number;
	/** Mean time of a statement at an endpoint, in milliseconds. */
	readonly workMs: number;
	/** Latency target: time within which a response earns the full value, in milliseconds from the first attempt. */
	readonly targetLatencyMs: number;
	/** Time within which a response earns `lateValue`, in milliseconds from the first attempt. */
	readonly deadlineMs: number;
	readonly value: number;
	/** Priority of the route; by default 1 where the full value is above 1, else 2. */
	readonly priority?: number;
	readonly lateValue: number;
	/** Maximum number of retries after refusals. */
	readonly retries: number;
	/** Whether each request opens a session of its own. */
	readonly opensSession: boolean;
};

/** Settings of a site: its hosts, groups and requests. */
export type SiteShape = {
	readonly name: string;
	readonly hosts: number;
	readonly zones: number;
	readonly groups: number;
	readonly servers: number;
	readonly slots: number;
	readonly connections: number;
	readonly lagMs: number;
	readonly promoteMs: number;
	/** One-way latency between zones, in milliseconds; within a zone it is a fifth of it. */
	readonly crossZoneOneWayMs: number;
	readonly requests: readonly RequestShape[];
};

/** Sleep logs: long reads, most of which replicas may serve. */
export const SLEEP_LOGS: SiteShape = {
	name: 'sleep logs',
	hosts: 9,
	zones: 4,
	groups: 3,
	servers: 3,
	slots: 3,
	connections: 22,
	lagMs: 20,
	promoteMs: 1000,
	crossZoneOneWayMs: 0.9,
	requests: [
		{
			name: 'sync', policy: ReadPolicy.Primary, maxReadAgeMs: 0, writeShare: 0.35, transactionShare: 0.4, perSecond: 47, workMs: 8,
			targetLatencyMs: 200, deadlineMs: 2000, value: 2, lateValue: 0.6, retries: 2, opensSession: false,
		},
		{
			name: 'review', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500, writeShare: 0, transactionShare: 0.1, perSecond: 47, workMs: 40,
			targetLatencyMs: 600, deadlineMs: 6000, value: 1, lateValue: 0.3, retries: 2, opensSession: false,
		},
		{
			name: 'roster', policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500, writeShare: 0.12, transactionShare: 0.12, perSecond: 220, workMs: 24,
			targetLatencyMs: 400, deadlineMs: 2000, value: 2, lateValue: 0.3, retries: 2, opensSession: false,
		},
	],
};

/** Filings: short statements, and a session for each lookup. */
export const FILINGS: SiteShape = {
	name: 'filings',
	hosts: 9,
	zones: 3,
	groups: 3,
	servers: 3,
	slots: 2,
	connections: 34,
	lagMs: 60,
	promoteMs: 600,
	crossZoneOneWayMs: 1.4,
	requests: [
		{
			name: 'filing', policy: ReadPolicy.Primary, maxReadAgeMs: 0, writeShare: 0.2, transactionShare: 0.25, perSecond: 47, workMs: 3,
			targetLatencyMs: 100, deadlineMs: 1500, value: 2, lateValue: 0.6, retries: 2, opensSession: false,
		},
		{
			name: 'lookup', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500, writeShare: 0, transactionShare: 0.1, perSecond: 47, workMs: 15,
			targetLatencyMs: 300, deadlineMs: 4000, value: 1, lateValue: 0.3, retries: 2, opensSession: true,
		},
		{
			name: 'docket', policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500, writeShare: 0.12, transactionShare: 0.12, perSecond: 220, workMs: 9,
			targetLatencyMs: 200, deadlineMs: 1500, value: 2, lateValue: 0.3, retries: 2, opensSession: false,
		},
	],
};

/** Parcels: many hosts, each of which sends few statements to a group; a third of the groups of the deployment, at its load for each group. */
export const PARCELS: SiteShape = {
	name: 'parcels',
	hosts: 86,
	zones: 6,
	groups: 2,
	servers: 3,
	slots: 6,
	connections: 53,
	lagMs: 20,
	promoteMs: 1000,
	crossZoneOneWayMs: 0.9,
	requests: [
		{
			name: 'booking', policy: ReadPolicy.Primary, maxReadAgeMs: 0, writeShare: 0.2, transactionShare: 0.25, perSecond: 45, workMs: 9.3,
			targetLatencyMs: 402, deadlineMs: 2514, value: 2, lateValue: 0.6, priority: 1, retries: 2, opensSession: false,
		},
		{
			name: 'collection', policy: ReadPolicy.OwnWrites, maxReadAgeMs: 2500, writeShare: 0.12, transactionShare: 0.12, perSecond: 210, workMs: 28,
			targetLatencyMs: 802, deadlineMs: 2507, value: 2, lateValue: 0.3, priority: 2, retries: 2, opensSession: false,
		},
		{
			name: 'tracking', policy: ReadPolicy.Bounded, maxReadAgeMs: 1500, writeShare: 0, transactionShare: 0.1, perSecond: 45, workMs: 47,
			targetLatencyMs: 1002, deadlineMs: 6013, value: 1, lateValue: 0.3, retries: 2, opensSession: false,
		},
	],
};
