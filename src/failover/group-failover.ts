import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import type {EndpointConnection} from '../endpoints/endpoint.js';

/** Watches the primary of one group and raises another when it is lost. */
export type GroupFailover = {
	/** Begins watching. */
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Notes that traffic found the primary silent; brings the next check forward. */
	suspect(endpoint: string, now: number): void;
	/** Hands the primary's role to another endpoint without losing a request; rejects with a FailoverError that says why not. */
	switchTo(endpoint: string, deadlineMs: number): Promise<void>;
};

/** What a group's failover needs of its owner. */
export type GroupFailoverContext = {
	/** The configuration in force. */
	getGroup(): VersionedGroup;
	readonly knowledge: GroupKnowledge;
	/** Runs an exchange on the endpoint's control connection, which is kept apart from the pool. */
	control<T>(endpoint: string, exchange: (connection: EndpointConnection) => Promise<T>): Promise<T>;
	/** Stops new writes of this group on this host and waits for those in flight, for `ms` at most; the returned call lets writes in again. */
	holdWrites(ms: number): Promise<() => void>;
	/** How long this host has had no work of the group, in milliseconds, 0 while it has; without it the group counts as busy. */
	getIdleMs?(now: number): number;
};
