import type {EndpointStatus} from '../endpoints/endpoint.js';
import type {LogPosition} from '../terms/log-position.js';
import type {EndpointConfig} from './group-config.js';

/**
 * The status of a group's endpoints as an owner last observed them. It may be stale or wrong at any moment. No guarantee depends on it, since each
 * response is checked against the status that the server reports in the same exchange.
 */
export type GroupKnowledge = {
	/** Records the status that a server reported, observed at `now`. */
	observe(endpoint: string, status: EndpointStatus, now: number): void;
	/** Records that the server did not respond in an exchange. */
	observeFailure(endpoint: string, now: number): void;
	/** Returns what was last observed of an endpoint; undefined if nothing was. */
	get(endpoint: string): EndpointKnowledge | undefined;
	/** Returns the endpoint that reported itself as primary in the highest term observed; undefined if that term was promised but no primary of it was observed. */
	getPrimary(): EndpointConfig | undefined;
	/** The highest term that any server has reported as promised. */
	readonly highestTerm: number;
	/** Records a position of the primary that a majority confirmed in its term. */
	observeConfirmed(position: number, term: number, now: number): void;
	/** Returns an upper bound of the age of an endpoint's data, in milliseconds; Infinity if unknown. */
	getAgeMs(endpoint: string, now: number): number;
	/** Returns an upper bound of the age of the data in a log that ends at `log`, in milliseconds; Infinity if unknown. */
	getLogAgeMs(log: LogPosition, now: number): number;
	/** Returns the estimated time at which the primary's log reached that end, for predictions; undefined if that was not observed or is too long ago. */
	getReachedAt(log: LogPosition): number | undefined;
};

/** What was last observed of one endpoint. */
export type EndpointKnowledge = {
	/** The last status that the endpoint reported. */
	readonly status?: EndpointStatus;
	/** Time at which the status was observed. */
	readonly seenAt: number;
	/** Number of exchanges without a response since the last response. */
	readonly failures: number;
	/** Time at which the present run of failures began. */
	readonly failingSince?: number;
};
