import type {EndpointRole} from '../endpoints/endpoint.js';
import type {AnswerCode} from '../statements/statement-answer.js';

/** Metrics of the callers' statements. No label holds a caller's value, so that the number of series stays bounded. */
export type GatewayMetrics = {
	/** Counts an answered statement, with the time from its arrival to its answer. */
	observeStatement(kind: string, outcome: 'done' | AnswerCode, seconds: number): void;
	/** Observes how long a statement waited for a connection to an endpoint. */
	observeLinkWait(seconds: number): void;
	/** Counts a read, by the role of the endpoint that ran it. */
	countRead(role: EndpointRole): void;
	/** Counts a statement that was tried again, by the reason. */
	countRetry(reason: string): void;
	/** A commit whose lease had expired was checked again: `kept` where it could be acknowledged. */
	countCommitRecheck(outcome: 'kept' | 'unknown'): void;
	setSessions(open: number): void;
};
