import type {Workspace} from '../workspaces/workspace.js';

/** The policies for how fresh the data of a route's reads must be. */
export const ReadPolicy = {
	/** Reads see every commit acknowledged before the read. */
	Primary: 'primary',
	/** Reads see every commit acknowledged longer ago than the route's maximum staleness. */
	Bounded: 'bounded',
	/** As `Bounded`; in addition reads see every commit of their own session. */
	OwnWrites: 'own-writes',
} as const;

/** One of the policies in {@link ReadPolicy}. */
export type ReadPolicy = typeof ReadPolicy[keyof typeof ReadPolicy];

/** The group to which the statements for one database name are sent, and the rules that apply to them. */
export type Route = {
	readonly name: string;
	/** Name of the database to which callers connect. */
	readonly database: string;
	readonly group: string;
	readonly policy: ReadPolicy;
	/** Maximum age of the data that a read sees, in milliseconds; 0 for the primary policy. */
	readonly maxReadAgeMs: number;
	/** Timeout of a single statement, in milliseconds. */
	readonly statementTimeoutMs: number;
	/** Latency target of a whole operation, in milliseconds. */
	readonly targetLatencyMs: number;
	/** Priority of the route's statements; 0 is the highest. */
	readonly priority: number;
	/** Whether callers must present the key of a workspace. */
	readonly needsKey?: boolean;
};

/** A database group as it is configured. */
export type RoutedGroup = {
	readonly name: string;
	/** Maximum number of connections that each of the group's endpoints accepts from all hosts together. */
	readonly maxConnections: number;
	/** Number of replicas that must have received a commit before the primary acknowledges it; absent counts as 0. */
	readonly syncReplicas?: number;
};

/** One complete version of the configuration. */
export type Routing = {
	readonly version: number;
	/** Routes by database name. */
	readonly routes: ReadonlyMap<string, Route>;
	/** Groups by name. */
	readonly groups: ReadonlyMap<string, RoutedGroup>;
	/** Workspaces by name; empty if the deployment has none. */
	readonly workspaces: ReadonlyMap<string, Workspace>;
	/** Idle time after which a transaction may be ended, in milliseconds. */
	readonly idleTransactionMs: number;
};

/**
 * Returns the longest time between two requests of a transaction on its connection, in milliseconds, after which its host ends it: the longest statement
 * and the idle time. Without a configuration no transaction begins.
 */
export function getMaxTransactionIdleMs(routing: Routing | undefined): number {
	const longestStatementMs = Math.max(0, ...[...routing?.routes.values() ?? []].map(({statementTimeoutMs}) => statementTimeoutMs));
	return longestStatementMs + (routing?.idleTransactionMs ?? 0);
}

/** The registration of an endpoint, written by the endpoint itself. */
export type RegisteredEndpoint = {
	/** Identifies one incarnation of the server: a restarted server has lost its earlier state and has another id. */
	readonly id: string;
	/** Identifies the server across incarnations; two incarnations of one server never overlap. */
	readonly server: string;
	readonly group: string;
	/** `ip:port`; other endpoints may reuse it once this one has ended. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Maximum number of statements that it runs at the same time. */
	readonly slots: number;
	/** Whether the endpoint is about to end and must get no new work. */
	readonly leaving: boolean;
	/** Whether the endpoint reports itself as primary of its group; a superseded primary does so too. */
	readonly claimsLead: boolean;
};
