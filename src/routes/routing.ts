import type {Workspace} from '../workspaces/workspace.js';

/** How fresh the data must be that a route's reads see. */
export const ReadPolicy = {
	/** Every commit acknowledged before the read. */
	Primary: 'primary',
	/** Every commit acknowledged longer ago than the route's staleness. */
	Bounded: 'bounded',
	/** The same, and every commit of the session itself. */
	OwnWrites: 'own-writes',
} as const;

/** One of the policies in {@link ReadPolicy}. */
export type ReadPolicy = typeof ReadPolicy[keyof typeof ReadPolicy];

/** Where the statements of one database name go, and how they are treated. */
export type Route = {
	readonly name: string;
	/** The database that callers name. */
	readonly database: string;
	readonly group: string;
	readonly policy: ReadPolicy;
	/** Age that data may have which a read sees, in milliseconds; 0 for the primary policy. */
	readonly maxReadAgeMs: number;
	/** Bound for a single statement, in milliseconds. */
	readonly statementTimeoutMs: number;
	/** Time in which a whole operation is wanted, in milliseconds. */
	readonly targetLatencyMs: number;
	/** 0 goes first. */
	readonly priority: number;
	/** Callers have to show the key of a workspace. */
	readonly needsKey?: boolean;
};

/** A database group as it is configured. */
export type RoutedGroup = {
	readonly name: string;
	/** Connections that each of its endpoints takes, from all hosts together. */
	readonly maxConnections: number;
};

/** One version of the configuration in full. */
export type Routing = {
	readonly version: number;
	/** By database. */
	readonly routes: ReadonlyMap<string, Route>;
	/** By name. */
	readonly groups: ReadonlyMap<string, RoutedGroup>;
	/** By name; empty where the deployment has none. */
	readonly workspaces: ReadonlyMap<string, Workspace>;
	/** A transaction idle for so long may be ended, in milliseconds. */
	readonly idleTransactionMs: number;
};

/** How long a transaction may rest with its connection before its host ends it, in milliseconds: a statement and a pause; without a configuration, none begins. */
export function getLongestRestMs(routing: Routing | undefined): number {
	const longestStatementMs = Math.max(0, ...[...routing?.routes.values() ?? []].map(({statementTimeoutMs}) => statementTimeoutMs));
	return longestStatementMs + (routing?.idleTransactionMs ?? 0);
}

/** An endpoint as it registered itself. */
export type RegisteredEndpoint = {
	/** Names one life of it: started again it knows nothing of before, and has another id. */
	readonly id: string;
	/** Names the server, the same in each of its lives; two lives never overlap. */
	readonly server: string;
	readonly group: string;
	/** `ip:port`; used again by others once the endpoint is gone. */
	readonly address: string;
	readonly availabilityZone: string;
	/** Statements that it runs at once. */
	readonly slots: number;
	/** It is about to end and must get no new work. */
	readonly leaving: boolean;
	/** It says of itself that it leads its group; a superseded primary says so too. */
	readonly claimsLead: boolean;
};
