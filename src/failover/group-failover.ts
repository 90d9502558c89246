import type {GroupKnowledge} from '../groups/group-knowledge.js';
import type {VersionedGroup} from '../configuration/configuration.js';
import type {EndpointConnection} from '../endpoints/endpoint.js';

/** Monitors the primary of one group and promotes another one when it is lost. */
export type GroupFailover = {
	/** Starts monitoring. */
	start(): Promise<void>;
	stop(): Promise<void>;
	/** Records that traffic found the primary silent at `now`, and brings the next check forward. */
	suspect(endpoint: string, now: number): void;
	/** Makes another endpoint primary without losing a request; rejects with a FailoverError that gives the reason where that fails. */
	switchTo(endpoint: string, deadlineMs: number): Promise<void>;
};

/** What a group's failover needs of its owner. */
export type GroupFailoverContext = {
	/** Returns the configuration in force. */
	getGroup(): VersionedGroup;
	readonly knowledge: GroupKnowledge;
	/** Runs an exchange on the endpoint's control connection, which is separate from the pool. */
	control<T>(endpoint: string, exchange: (connection: EndpointConnection) => Promise<T>): Promise<T>;
	/** Holds new writes of this group on this host and waits up to `ms` milliseconds for those in flight; the returned function admits writes again. */
	holdWrites(ms: number): Promise<() => void>;
	/** Returns how long this host has had no work of the group, in milliseconds, 0 while it has some; without it the group counts as busy. */
	getIdleMs?(now: number): number;
};
