import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {LogPosition} from '../terms/log-position.js';
import type {EndpointConfig} from './group-config.js';

/**
 * What an owner has seen of a group's endpoints. It may be stale or wrong at any moment; nothing that must hold
 * rests on it, since each answer is checked against what the server shows in the same exchange.
 */
export type GroupKnowledge = {
	/** Notes a server's own word, seen at `now`. */
	observe(endpoint: string, status: EndpointStatus, now: number): void;
	/** Notes that an exchange with the server brought no answer. */
	observeFailure(endpoint: string, now: number): void;
	/** What was last seen of an endpoint. */
	get(endpoint: string): EndpointKnowledge | undefined;
	/** The endpoint that showed itself primary at the highest term seen, undefined where a higher promise was seen without one. */
	getPrimary(): EndpointConfig | undefined;
	/** The highest term that any server has shown to have promised. */
	readonly highestTerm: number;
	/** Notes a position of the primary that a majority confirmed under its term. */
	observeConfirmed(position: number, term: number, now: number): void;
	/** Upper bound of the age of what an endpoint holds, in milliseconds; Infinity where unknown. */
	getAgeMs(endpoint: string, now: number): number;
	/** Upper bound of the age of what a log that ends at `log` holds, in milliseconds; Infinity where unknown. */
	getLogAgeMs(log: LogPosition, now: number): number;
	/** About when the primary's log reached that end, for predictions; undefined where it was not seen to, or is too long ago. */
	getReachedAt(log: LogPosition): number | undefined;
};

/** What was last seen of one endpoint. */
export type EndpointKnowledge = {
	/** The last status shown. */
	readonly status?: EndpointStatus;
	/** When the status was seen. */
	readonly seenAt: number;
	/** Exchanges without an answer since the last answer. */
	readonly failures: number;
	/** When the present run of failures began. */
	readonly failingSince?: number;
};
